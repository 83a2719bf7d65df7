#include "faults/fault_schedule.h"
#include "faults/work_folder.h"
#include "faults/workload.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace pomelohoist::faults {
namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr int kills = 10;
constexpr auto down_time = 500ms;
constexpr auto up_time = 1000ms;
constexpr std::uint32_t callers = 6;
constexpr std::uint64_t seed = 1;
// At least 99.9% of the idempotent requests succeed without a retry by the caller.
constexpr std::uint64_t per_mille = 1000;
constexpr std::uint64_t min_success_per_mille = 999;

// Guards against idempotent requests that fail because one endpoint was killed: entries must retry them at another
// endpoint and resume broken streams.
TEST(endpoint_kill_test, idempotent_requests_survive_one_endpoint_killed_at_a_time) {
    deployment cluster{POMELOHOIST_BIN_DIR, make_work_folder("endpoint-kill")};
    start_deployment(cluster);
    workload_options options;
    options.seed = seed;
    options.callers = callers;
    options.with_bookings = false;
    workload traffic{entries_of(cluster), options, journals_of(cluster)};
    traffic.start();
    std::mt19937_64 random{seed};
    for (int i = 0; i < kills; ++i) {
        std::this_thread::sleep_for(up_time);
        // The first three endpoints are the models.
        running_endpoint& killed = *cluster.endpoints().at(random() % 3);
        killed.standin.process->kill();
        std::this_thread::sleep_for(down_time);
        cluster.restart_standin(killed);
    }
    const workload_report report = traffic.stop();
    std::cout << report.complete_drafts << " of " << report.drafts << " drafts complete at the first send, " << kills
              << " kills" << std::endl;
    EXPECT_TRUE(report.violations.empty()) << report.violations.front();
    EXPECT_GE(report.complete_drafts * per_mille, report.drafts * min_success_per_mille);
    EXPECT_TRUE(cluster.stop_all().empty());
}

} // namespace
} // namespace pomelohoist::faults
