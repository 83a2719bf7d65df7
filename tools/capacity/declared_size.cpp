#include "capacity/cluster.h"
#include "capacity/fake_peer.h"

#include "platform/http_platform.h"
#include "spread/configuration_commit.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <sys/resource.h>

namespace pomelohoist::capacity {

namespace {

using namespace std::chrono_literals;
using test_support::deployment;
using steady = std::chrono::steady_clock;

constexpr std::size_t declared_workspaces = 15000;
constexpr std::size_t declared_endpoints = 1400;
constexpr int large_change_runs = 5;
constexpr int operator_commands = 5;
constexpr auto settle_time = 1200ms;
constexpr double kilobytes_per_megabyte = 1024.0;
constexpr double milliseconds_per_second = 1000.0;
constexpr double microseconds_per_millisecond = 1000.0;

/// Measurements of one program at increasing sizes.
struct size_points {
    std::vector<point> memory;
    std::vector<point> restarted_memory;
    std::vector<point> start_up;
};

test_support::endpoint_options model_endpoint() {
    return {"model-1", "model", "model-a", "", 0, "dc-1", "", "label.pool = drafting\n", {}, 8};
}

std::uint64_t newest_version(deployment& cluster) {
    const system_clock time;
    http_platform platform{cluster.platform().http, time};
    configuration_commit reader{platform, platform};
    return reader.read_version().value().value_or(0);
}

std::vector<net_address> processes_of(deployment& cluster) {
    return {cluster.entries().front().inner, cluster.endpoints().front()->agent.inner};
}

/// Restarts entry and agent and waits until each has the configuration.
void measure_start(deployment& cluster, double size, size_points& entry_points, size_points& agent_points) {
    const std::uint64_t version = newest_version(cluster);
    auto begin = steady::now();
    cluster.restart_entry(cluster.entries().front());
    wait_for_version({cluster.entries().front().inner}, version);
    entry_points.start_up.push_back({size, elapsed_ms(begin)});
    begin = steady::now();
    cluster.restart_agent(*cluster.endpoints().front());
    wait_for_version({cluster.endpoints().front()->agent.inner}, version);
    agent_points.start_up.push_back({size, elapsed_ms(begin)});
    std::this_thread::sleep_for(settle_time);
    entry_points.restarted_memory.push_back({size, memory_kilobytes(cluster.entries().front().process->id())});
    agent_points.restarted_memory.push_back({size, memory_kilobytes(cluster.endpoints().front()->agent.process->id())});
}

void measure_size(deployment& cluster, fake_peer& peer, double size, size_points& entry_points,
                  size_points& agent_points) {
    peer.publish_newest(cluster.platform().http, processes_of(cluster));
    std::this_thread::sleep_for(settle_time);
    entry_points.memory.push_back({size, memory_kilobytes(cluster.entries().front().process->id())});
    agent_points.memory.push_back({size, memory_kilobytes(cluster.endpoints().front()->agent.process->id())});
    measure_start(cluster, size, entry_points, agent_points);
}

void add_rows(report& table, const std::string& object, const size_points& entry_points,
              const size_points& agent_points) {
    table.add_slope("entry, running, memory per " + object, "KB", entry_points.memory);
    table.add_slope("agent, running, memory per " + object, "KB", agent_points.memory);
    table.add_slope("entry, restarted, memory per " + object, "KB", entry_points.restarted_memory);
    table.add_slope("agent, restarted, memory per " + object, "KB", agent_points.restarted_memory);
    table.add_slope("entry, start-up time per " + object, "ms", entry_points.start_up);
    table.add_slope("agent, start-up time per " + object, "ms", agent_points.start_up);
}

double children_processor_ms() {
    rusage usage{};
    getrusage(RUSAGE_CHILDREN, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * milliseconds_per_second +
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / microseconds_per_millisecond;
}

/// @returns peak resident memory of the command in kilobytes
double run_command(const run_folders& folders, deployment& cluster, const std::vector<std::string>& arguments) {
    std::vector<std::string> words = arguments;
    words.insert(words.end(), {"--platform", cluster.platform().http.to_string()});
    test_support::child_process command{folders.binaries + "/pomelohoist", words,
                                        cluster.work_folder() + "/operator.log"};
    double highest = 0.0;
    while (command.is_running()) {
        highest = std::max(highest, memory_kilobytes(command.id(), "VmHWM"));
        std::this_thread::sleep_for(1ms);
    }
    return highest;
}

void measure_operator(const run_folders& folders, deployment& cluster, report& table) {
    std::vector<double> times;
    std::vector<double> processor;
    std::vector<double> memory;
    const auto before = read_store_accesses(cluster.platform().http);
    for (int i = 0; i < operator_commands; ++i) {
        const double processor_before = children_processor_ms();
        const auto begin = steady::now();
        const std::string value = "round=" + std::to_string(i);
        memory.push_back(run_command(folders, cluster, {"label", "workspace", "workspace-7", value}) /
                         kilobytes_per_megabyte);
        times.push_back(elapsed_ms(begin));
        processor.push_back(children_processor_ms() - processor_before);
    }
    const auto after = read_store_accesses(cluster.platform().http);
    table.begin("Operator's command `label` at the declared size, with an entry and an agent polling");
    table.add_samples("time", "ms", times);
    table.add_samples("processor time", "ms", processor);
    table.add_samples("highest memory", "MB", memory);
    table.add_samples("store writes per command", "rows",
                      {(after.at("").writes - before.at("").writes) / operator_commands});
}

} // namespace

void measure_declared_size(const run_folders& folders, report& table) {
    deployment cluster = make_deployment(folders, "declared-size");
    cluster.start_platform();
    cluster.start_endpoint(model_endpoint());
    cluster.start_entry("entry-1");
    apply_file(cluster, base_declarations() + cluster.endpoint_declarations());
    fake_peer peer;
    size_points entry_points;
    size_points agent_points;
    std::size_t declared = 0;
    for (const std::size_t number : {std::size_t{0}, std::size_t{5000}, std::size_t{10000}, declared_workspaces}) {
        if (number > declared) {
            apply_file(cluster, declare_workspaces(declared, number));
            declared = number;
        }
        measure_size(cluster, peer, static_cast<double>(number), entry_points, agent_points);
    }
    table.begin("Declared workspaces (1 endpoint)");
    add_rows(table, "workspace", entry_points, agent_points);
    entry_points = {};
    agent_points = {};
    declared = 0;
    for (const std::size_t number : {std::size_t{0}, std::size_t{467}, std::size_t{933}, declared_endpoints}) {
        if (number > declared) {
            apply_file(cluster, declare_endpoints(declared, number));
            declared = number;
        }
        measure_size(cluster, peer, static_cast<double>(number), entry_points, agent_points);
    }
    table.begin("Declared endpoints (15,000 workspaces)");
    add_rows(table, "endpoint", entry_points, agent_points);
    measure_operator(folders, cluster, table);
}

void measure_large_change(const run_folders& folders, report& table) {
    std::vector<double> entry_memory;
    std::vector<double> agent_memory;
    std::vector<double> entry_highest;
    for (int run = 0; run < large_change_runs; ++run) {
        deployment cluster = make_deployment(folders, "large-change");
        cluster.start_platform();
        cluster.start_endpoint(model_endpoint());
        cluster.start_entry("entry-1");
        apply_file(cluster, base_declarations() + cluster.endpoint_declarations() +
                                declare_workspaces(0, declared_workspaces) + declare_endpoints(0, declared_endpoints));
        wait_for_version(processes_of(cluster), newest_version(cluster));
        // The restarted entry pulls from the agent, so that the agent serves the large change as well.
        cluster.restart_entry(cluster.entries().front());
        wait_for_version(processes_of(cluster), newest_version(cluster));
        fake_peer peer;
        peer.load_from(cluster.platform().http);
        for (int i = 0; i < 3; ++i) {
            apply_file(cluster, "[workspace.later-" + std::to_string(i) + "]\nkey_sha256 = " + std::string(63, 'a') +
                                    std::to_string(i) + "\n");
            peer.publish_newest(cluster.platform().http, processes_of(cluster));
        }
        std::this_thread::sleep_for(settle_time);
        const pid_t entry = cluster.entries().front().process->id();
        entry_memory.push_back(memory_kilobytes(entry) / kilobytes_per_megabyte);
        entry_highest.push_back(memory_kilobytes(entry, "VmHWM") / kilobytes_per_megabyte);
        agent_memory.push_back(memory_kilobytes(cluster.endpoints().front()->agent.process->id()) /
                               kilobytes_per_megabyte);
    }
    table.begin("15,000 workspaces and 1,400 endpoints in one change, then three small ones");
    table.add_samples("entry, memory after it", "MB", entry_memory);
    table.add_samples("entry, highest memory", "MB", entry_highest);
    table.add_samples("agent, memory after it", "MB", agent_memory);
}

} // namespace pomelohoist::capacity
