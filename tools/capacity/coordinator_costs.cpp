#include "capacity/cluster.h"

#include "lease/lease.h"
#include "platform/http_platform.h"
#include "replay/trace_generator.h"

#include <pomelohoist/expert_balance.h>

#include <array>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace pomelohoist::capacity {

namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr std::size_t failovers = 5;
constexpr auto challenge_interval = 250ms;
constexpr auto failover_timeout = 20s;
constexpr std::uint32_t experts = 256;
constexpr std::uint32_t layers = 58;
constexpr std::uint32_t observed_steps = 8;
constexpr int plan_runs = 3;
// Copies per step, high enough that the pacing of the weight store does not shorten the plan.
constexpr double fast_store = 64.0;
constexpr double milliseconds_per_second = 1000.0;

/// @returns seconds between the last renewal by a holder that stops and the acquisition of the lease by a challenger
double fail_over(table_service& rows, const std::string& group) {
    const system_clock time;
    const fencing_gate gate;
    lease holder{rows, time, gate, group, "holder"};
    lease challenger{rows, time, gate, group, "challenger"};
    if (!holder.try_hold() || challenger.try_hold()) {
        throw std::runtime_error("the lease was not held as expected");
    }
    const auto stopped = steady::now();
    while (!challenger.try_hold()) {
        if (steady::now() - stopped > failover_timeout) {
            throw std::runtime_error("no failover");
        }
        std::this_thread::sleep_for(challenge_interval);
    }
    return elapsed_ms(stopped) / milliseconds_per_second;
}

void measure_lease(http_platform& rows, const net_address& platform, report& table) {
    std::array<double, failovers> times{};
    std::vector<std::thread> groups;
    for (std::size_t i = 0; i < failovers; ++i) {
        groups.emplace_back([&, i] { times.at(i) = fail_over(rows, "group-" + std::to_string(i)); });
    }
    for (std::thread& group : groups) {
        group.join();
    }
    table.add_samples("failover of a lease, challenged every 250 ms", "s", {times.begin(), times.end()});
    std::vector<point> reads;
    std::vector<point> writes;
    const system_clock time;
    const fencing_gate gate;
    lease renewed_lease{rows, time, gate, "renewed", "holder"};
    renewed_lease.try_hold();
    for (const int number : {50, 100, 200}) {
        const store_access before = read_store_accesses(platform)["lease"];
        for (int i = 0; i < number; ++i) {
            renewed_lease.try_hold();
        }
        const store_access after = read_store_accesses(platform)["lease"];
        reads.push_back({static_cast<double>(number), after.reads - before.reads});
        writes.push_back({static_cast<double>(number), after.writes - before.writes});
    }
    table.add_slope("store reads per renewal", "rows", reads);
    table.add_slope("store writes per renewal", "rows", writes);
}

/// @returns milliseconds of processor time for one plan and for the observation of one step
std::array<double, 2> plan_once(std::uint32_t ranks, std::uint32_t slots) {
    const expert_shape shape{ranks, experts, layers, slots};
    balance_options options;
    options.copies_per_step = fast_store;
    options.move_weight = 0.0;
    options.noise_margin = 0.0;
    generator_options generated;
    generated.shape = shape;
    generated.steps = observed_steps;
    trace_generator generator{generated};
    const expert_map map{shape};
    const auto balancer = make_adaptive_balancer(shape, options);
    double observed = 0.0;
    for (auto step = generator.next(); step && *step; step = generator.next()) {
        const std::vector<double> times = rank_loads(map, (*step)->tokens);
        const double before = processor_ms(getpid());
        balancer->observe((*step)->tokens, times, map);
        observed += (processor_ms(getpid()) - before) / observed_steps;
    }
    const double before = processor_ms(getpid());
    balancer->plan(map);
    return {processor_ms(getpid()) - before, observed};
}

void measure_planning(report& table) {
    for (const auto& [ranks, slots] : {std::pair{64U, 5U}, std::pair{128U, 3U}, std::pair{256U, 2U}}) {
        std::vector<double> plans;
        std::vector<double> observations;
        for (int i = 0; i < plan_runs; ++i) {
            const std::array<double, 2> cost = plan_once(ranks, slots);
            plans.push_back(cost[0]);
            observations.push_back(cost[1]);
        }
        const std::string size = std::to_string(ranks) + " ranks, 256 experts, 58 layers";
        table.add_samples("processor time of a plan, " + size, "ms", plans);
        table.add_samples("processor time of observing a step, " + size, "ms", observations);
    }
}

} // namespace

void measure_coordinator(const run_folders& folders, report& table) {
    test_support::deployment cluster = make_deployment(folders, "coordinator");
    cluster.start_platform();
    const system_clock time;
    http_platform rows{cluster.platform().http, time};
    table.begin("Coordinator of a group");
    measure_lease(rows, cluster.platform().http, table);
    measure_planning(table);
}

} // namespace pomelohoist::capacity
