#include "capacity/cluster.h"

#include "platform/http_platform.h"
#include "spread/configuration_commit.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace pomelohoist::capacity {

namespace {

using namespace std::chrono_literals;
using test_support::deployment;
using test_support::running_endpoint;

constexpr std::size_t data_centres = 4;
constexpr int freezes = 3;
constexpr auto idle_time = 6s;
constexpr auto frozen_time = 2s;
const std::string frozen_data_centre = "dc-4";
constexpr double milliseconds_per_second = 1000.0;

/// Up to 40 agents in four data centres, and one entry.
class process_group {
  public:
    process_group(const run_folders& folders, report& output)
        : table(output), cluster(make_deployment(folders, "processes")) {
        this->cluster.start_platform();
    }

    void grow(std::size_t agents) {
        std::string declarations = base_declarations();
        while (this->cluster.endpoints().size() < agents) {
            const std::string number = std::to_string(this->cluster.endpoints().size() + 1);
            this->cluster.start_endpoint({"service-" + number,
                                          "service",
                                          "service-a",
                                          "",
                                          0,
                                          "dc-" + std::to_string(1 + this->cluster.endpoints().size() % data_centres),
                                          "",
                                          "label.pool = desk\n",
                                          {},
                                          8});
        }
        if (this->cluster.entries().empty()) {
            this->cluster.start_entry("entry-1", "dc-1");
        }
        // Declares all objects again; unchanged objects add nothing to the patch.
        apply_file(this->cluster, declarations + this->cluster.endpoint_declarations());
        wait_for_version(this->addresses(true), this->newest_version());
        std::this_thread::sleep_for(1s);
    }

    void measure_idle() {
        const double processes = static_cast<double>(this->cluster.endpoints().size()) + 1.0;
        const auto before = read_store_accesses(this->cluster.platform().http);
        const pid_t agent = this->cluster.endpoints().front()->agent.process->id();
        const pid_t entry = this->cluster.entries().front().process->id();
        const double agent_before = processor_ms(agent);
        const double entry_before = processor_ms(entry);
        const auto begin = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(idle_time);
        const double seconds = elapsed_ms(begin) / milliseconds_per_second;
        const auto after = read_store_accesses(this->cluster.platform().http);
        this->reads.push_back({processes, (after.at("").reads - before.at("").reads) / seconds});
        this->writes.push_back({processes, (after.at("").writes - before.at("").writes) / seconds});
        this->agent_idle.push_back({processes, (processor_ms(agent) - agent_before) / seconds});
        this->entry_idle.push_back({processes, (processor_ms(entry) - entry_before) / seconds});
    }

    void add_idle_rows() {
        this->table.begin("Real processes (agents of services and one entry), idle");
        this->table.add_slope("store reads by all processes", "1/s", this->reads);
        this->table.add_slope("store writes by all processes", "1/s", this->writes);
        this->table.add_slope("agent, processor time", "ms/s", this->agent_idle);
        this->table.add_slope("entry, processor time", "ms/s", this->entry_idle);
    }

    /// Commits a change while the processes of one data centre are frozen, then resumes them.
    void measure_freeze() {
        std::vector<double> running;
        std::vector<double> resumed;
        for (int i = 0; i < freezes; ++i) {
            for (running_endpoint* endpoint : this->frozen_endpoints()) {
                endpoint->agent.process->freeze();
            }
            std::this_thread::sleep_for(frozen_time);
            apply_file(this->cluster, "[workspace.later-" + std::to_string(i) +
                                          "]\nkey_sha256 = " + std::string(63, 'a') + std::to_string(i) + "\n");
            const std::uint64_t version = this->newest_version();
            running.push_back(wait_for_version(this->addresses(false), version) / milliseconds_per_second);
            for (running_endpoint* endpoint : this->frozen_endpoints()) {
                endpoint->agent.process->resume();
            }
            resumed.push_back(wait_for_version(this->addresses(true), version) / milliseconds_per_second);
        }
        const std::string number = std::to_string(this->cluster.endpoints().size() + 1);
        this->table.begin("A change while one of four data centres is frozen (" + number + " processes)");
        this->table.add_samples("in force in all running processes, from the end of `apply`", "s", running);
        this->table.add_samples("in force everywhere, from the resumption", "s", resumed);
    }

  private:
    std::uint64_t newest_version() {
        const system_clock time;
        http_platform platform{this->cluster.platform().http, time};
        configuration_commit reader{platform, platform};
        return reader.read_version().value().value_or(0);
    }

    std::vector<net_address> addresses(bool with_frozen) {
        std::vector<net_address> addresses_found{this->cluster.entries().front().inner};
        for (const auto& endpoint : this->cluster.endpoints()) {
            if (with_frozen || endpoint->options.data_centre != frozen_data_centre) {
                addresses_found.push_back(endpoint->agent.inner);
            }
        }
        return addresses_found;
    }

    std::vector<running_endpoint*> frozen_endpoints() {
        std::vector<running_endpoint*> endpoints_found;
        for (const auto& endpoint : this->cluster.endpoints()) {
            if (endpoint->options.data_centre == frozen_data_centre) {
                endpoints_found.push_back(endpoint.get());
            }
        }
        return endpoints_found;
    }

    report& table;
    deployment cluster;
    std::vector<point> reads;
    std::vector<point> writes;
    std::vector<point> agent_idle;
    std::vector<point> entry_idle;
};

} // namespace

void measure_processes(const run_folders& folders, report& table) {
    process_group group{folders, table};
    for (const std::size_t agents : {std::size_t{10}, std::size_t{20}, std::size_t{40}}) {
        group.grow(agents);
        group.measure_idle();
    }
    group.add_idle_rows();
    group.measure_freeze();
}

} // namespace pomelohoist::capacity
