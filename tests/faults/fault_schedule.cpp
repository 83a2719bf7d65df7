#include "faults/fault_schedule.h"

#include "support/standin_responses.h"

#include <array>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace pomelohoist::faults {

namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr std::size_t fault_count = static_cast<std::size_t>(fault::count);
constexpr std::uint64_t min_hold_ms = 300;
constexpr std::uint64_t hold_range_ms = 2700;
constexpr auto stop_limit = 30s;

constexpr std::array<const char*, fault_count> names{
    "kill_agent",   "kill_endpoint", "kill_entry", "freeze_agent",   "freeze_endpoint",
    "freeze_entry", "store_down",    "store_slow", "lost_answers",   "drain_endpoint",
    "host_leaves",  "stop_agent",    "stop_entry", "operators_race", "cut_agent",
};

std::string workspace_digest() {
    // SHA-256 of "workspace-key".
    return "3a62bd7109ab344ae2b2f1d77f954e1712048fd887b6337a83a92b2891c78d8a";
}

std::chrono::milliseconds hold_time(std::mt19937_64& random) {
    return std::chrono::milliseconds{min_hold_ms + random() % hold_range_ms};
}

void hold(std::mt19937_64& random) {
    std::this_thread::sleep_for(hold_time(random));
}

running_endpoint& random_endpoint(deployment& cluster, std::mt19937_64& random) {
    return *cluster.endpoints().at(random() % cluster.endpoints().size());
}

running_program& random_entry(deployment& cluster, std::mt19937_64& random) {
    return cluster.entries().at(random() % cluster.entries().size());
}

void freeze(child_process& process, std::mt19937_64& random) {
    process.freeze();
    hold(random);
    process.resume();
}

void stop_gracefully(child_process& process, const std::string& name) {
    process.terminate();
    const auto outcome = process.wait(stop_limit);
    if (!outcome || outcome->exit_status != 0) {
        throw std::runtime_error(name + " did not stop gracefully");
    }
}

void set_leaving(deployment& cluster, const std::string& hosts) {
    http_request request;
    request.method = "PUT";
    request.path = "/standin/hosts";
    request.body = R"({"live":[],"leaving":[)" + hosts + "]}";
    send_http(cluster.platform().http, request);
}

std::string race_operators(deployment& cluster) {
    const std::string target = cluster.endpoints().front()->options.name;
    process_outcome first;
    process_outcome second;
    std::thread second_operator{[&] { second = cluster.operate({"label", "endpoint", target, "shelf=a", "row=1"}); }};
    first = cluster.operate({"label", "endpoint", target, "shelf=b", "place=2"});
    second_operator.join();
    return std::to_string(first.exit_status) + "/" + std::to_string(second.exit_status);
}

std::string inject_process_fault(fault kind, deployment& cluster, std::mt19937_64& random) {
    running_endpoint& endpoint = random_endpoint(cluster, random);
    running_program& entry = random_entry(cluster, random);
    switch (kind) {
    case fault::kill_agent:
        endpoint.agent.process->kill();
        hold(random);
        cluster.restart_agent(endpoint);
        return endpoint.options.name;
    case fault::kill_endpoint:
        endpoint.standin.process->kill();
        hold(random);
        cluster.restart_standin(endpoint);
        return endpoint.options.name;
    case fault::kill_entry:
        entry.process->kill();
        hold(random);
        cluster.restart_entry(entry);
        return entry.name;
    case fault::freeze_agent:
        freeze(*endpoint.agent.process, random);
        return endpoint.options.name;
    case fault::freeze_endpoint:
        freeze(*endpoint.standin.process, random);
        return endpoint.options.name;
    case fault::freeze_entry:
        freeze(*entry.process, random);
        return entry.name;
    case fault::cut_agent:
        endpoint.agent_relay->set_cut(true);
        hold(random);
        endpoint.agent_relay->set_cut(false);
        return endpoint.options.name;
    case fault::stop_agent:
        stop_gracefully(*endpoint.agent.process, endpoint.options.name);
        cluster.restart_agent(endpoint);
        return endpoint.options.name;
    default:
        stop_gracefully(*entry.process, entry.name);
        cluster.restart_entry(entry);
        return entry.name;
    }
}

std::string inject_platform_fault(fault kind, deployment& cluster, std::mt19937_64& random) {
    running_endpoint& endpoint = random_endpoint(cluster, random);
    switch (kind) {
    case fault::store_down:
        set_faults(cluster.platform().http, R"({"down":true})");
        hold(random);
        set_faults(cluster.platform().http, R"({"down":false})");
        return "";
    case fault::store_slow:
        set_faults(cluster.platform().http, R"({"slow_ms":700})");
        hold(random);
        set_faults(cluster.platform().http, R"({"slow_ms":0})");
        return "";
    case fault::store_loses_responses:
        set_faults(cluster.platform().http, R"({"lose_answers":{"share":0.5}})");
        hold(random);
        set_faults(cluster.platform().http, R"({"lose_answers":{"share":0.0}})");
        return "";
    case fault::drain_endpoint:
        cluster.operate({"label", "endpoint", endpoint.options.name, "state=drained"});
        hold(random);
        cluster.operate({"label", "endpoint", endpoint.options.name, "state=active"});
        return endpoint.options.name;
    case fault::host_leaves:
        set_leaving(cluster, "\"" + endpoint.options.host + "\"");
        hold(random);
        set_leaving(cluster, "");
        return endpoint.options.name;
    default:
        return race_operators(cluster);
    }
}

} // namespace

std::string to_string(fault kind) {
    return names.at(static_cast<std::size_t>(kind));
}

void start_deployment(deployment& cluster) {
    cluster.start_platform({"--host-lag-ms", "100"});
    const std::string drafting = "label.pool = drafting\nlabel.state = active\n";
    const std::string desk = "label.pool = desk\nlabel.state = active\n";
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        cluster.start_endpoint(
            {"model-" + number, "model", "model-a", "", 0, "dc-" + number, "", drafting, {"--token-ms", "4"}, 4});
    }
    for (int i = 1; i <= 2; ++i) {
        const std::string number = std::to_string(i);
        cluster.start_endpoint(
            {"service-" + number, "service", "service-a", "", 0, "dc-" + number, "", desk, {"--delay-ms", "150"}});
    }
    for (const auto& endpoint : cluster.endpoints()) {
        cluster.add_relay(*endpoint);
    }
    cluster.start_entry("entry-1", "dc-1");
    cluster.start_entry("entry-2", "dc-2");
    const std::string declarations = "[workspace.team]\nkey_sha256 = " + workspace_digest() +
                                     "\nlabel.state = active\n"
                                     "[application.drafts]\nlabel.class = draft\n"
                                     "[application.bookings]\nidempotent = false\nlabel.class = desk\n"
                                     "[selector.drafts]\nworkspaces = state=active\napplications = class=draft\n"
                                     "endpoints = pool=drafting,state=active\n"
                                     "[selector.desk]\nworkspaces = state=active\napplications = class=desk\n"
                                     "endpoints = pool=desk,state=active\n";
    const process_outcome applied = cluster.apply(declarations + cluster.endpoint_declarations());
    if (applied.exit_status != 0) {
        throw std::runtime_error("declarations were not accepted: " + applied.output);
    }
}

std::vector<std::string> journals_of(deployment& cluster) {
    std::vector<std::string> files;
    for (const auto& endpoint : cluster.endpoints()) {
        files.push_back(cluster.journal_of(*endpoint));
    }
    return files;
}

std::vector<net_address> entries_of(deployment& cluster) {
    std::vector<net_address> addresses;
    for (const running_program& entry : cluster.entries()) {
        addresses.push_back(entry.http);
    }
    return addresses;
}

std::string inject(fault kind, deployment& cluster, std::mt19937_64& random) {
    const bool is_process_fault = kind <= fault::freeze_entry || kind == fault::stop_agent ||
                                  kind == fault::stop_entry || kind == fault::cut_agent;
    const std::string where =
        is_process_fault ? inject_process_fault(kind, cluster, random) : inject_platform_fault(kind, cluster, random);
    return to_string(kind) + (where.empty() ? "" : "(" + where + ")");
}

} // namespace pomelohoist::faults
