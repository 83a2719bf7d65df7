#include "faults/fault_schedule.h"
#include "faults/work_folder.h"
#include "faults/workload.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace pomelohoist::faults {
namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr auto up_time = 400ms;
constexpr auto stop_limit = 30s;
constexpr std::uint64_t seed = 7;

// Guards against a graceful stop of an agent or an entry that cuts off requests in flight, and against programs that do
// not end after SIGTERM.
TEST(graceful_stop_test, no_request_in_flight_is_cut) {
    deployment cluster{POMELOHOIST_BIN_DIR, make_work_folder("graceful-stop")};
    start_deployment(cluster);
    workload_options options;
    options.seed = seed;
    options.draft_tokens = 40;
    workload traffic{entries_of(cluster), options, journals_of(cluster)};
    traffic.set_strict(true);
    traffic.start();
    const auto stop_program = [&](running_program& program) {
        std::this_thread::sleep_for(up_time);
        program.process->terminate();
        const auto outcome = program.process->wait(stop_limit);
        ASSERT_TRUE(outcome) << program.name << " did not end";
        EXPECT_EQ(outcome->exit_status, 0) << program.name;
    };
    for (const auto& endpoint : cluster.endpoints()) {
        stop_program(endpoint->agent);
        cluster.restart_agent(*endpoint);
    }
    for (running_program& entry : cluster.entries()) {
        stop_program(entry);
        cluster.restart_entry(entry);
    }
    const workload_report report = traffic.stop();
    std::cout << report.sends << " sends, " << report.complete_drafts << " of " << report.drafts
              << " drafts complete at the first send, " << report.completed_bookings << " of " << report.bookings
              << " bookings completed" << std::endl;
    for (const std::string& violation : report.violations) {
        ADD_FAILURE() << violation;
    }
    EXPECT_TRUE(cluster.stop_all().empty());
}

} // namespace
} // namespace pomelohoist::faults
