#include "faults/fault_schedule.h"
#include "faults/work_folder.h"
#include "faults/workload.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <thread>

namespace pomelohoist::faults {
namespace {

using namespace std::chrono_literals;
using namespace test_support;
using steady = std::chrono::steady_clock;

constexpr auto warm_up = 700ms;
constexpr auto observe_time = 4000ms;
constexpr auto poll_pause = 10ms;
// The last new work reaches a leaving endpoint at most this long after it was told to leave.
constexpr auto drain_limit = 2000ms;

/// Drives a running deployment with traffic.
class drain_test : public testing::Test {
  protected:
    void start(const std::string& folder) {
        this->all = std::make_unique<deployment>(POMELOHOIST_BIN_DIR, make_work_folder(folder));
        start_deployment(*this->all);
        workload_options options;
        options.callers = 6;
        this->traffic = std::make_unique<workload>(entries_of(*this->all), options, journals_of(*this->all));
        this->traffic->start();
        std::this_thread::sleep_for(warm_up);
    }

    /// @returns the time from the order until the last request that the endpoint started
    std::chrono::milliseconds last_start_after(const std::function<void()>& order) {
        const net_address standin = this->all->endpoints().front()->standin.http;
        EXPECT_GT(sum_of(read_counts(standin), "started"), 0U) << "no traffic before the order";
        const std::uint64_t elsewhere = this->started_elsewhere();
        order();
        const auto ordered = steady::now();
        auto last_change = ordered;
        std::uint64_t seen = sum_of(read_counts(standin), "started");
        while (steady::now() < ordered + observe_time) {
            const std::uint64_t now = sum_of(read_counts(standin), "started");
            if (now != seen) {
                seen = now;
                last_change = steady::now();
            }
            std::this_thread::sleep_for(poll_pause);
        }
        EXPECT_GT(this->started_elsewhere(), elsewhere) << "no traffic is left that could have reached the endpoint";
        return std::chrono::duration_cast<std::chrono::milliseconds>(last_change - ordered);
    }

    /// @returns requests that the models other than the drained one have started
    std::uint64_t started_elsewhere() {
        std::uint64_t sum = 0;
        for (const auto& endpoint : this->all->endpoints()) {
            if (endpoint != this->all->endpoints().front() && endpoint->options.kind == "model") {
                sum += sum_of(read_counts(endpoint->standin.http), "started");
            }
        }
        return sum;
    }

    void finish() {
        const workload_report report = this->traffic->stop();
        EXPECT_TRUE(report.violations.empty()) << report.violations.front();
        EXPECT_GT(report.whole_drafts, 0U);
        EXPECT_TRUE(this->all->stop_all().empty());
    }

    std::unique_ptr<deployment> all;
    std::unique_ptr<workload> traffic;
};

// Guards against new work on a server that was relabelled.
TEST_F(drain_test, relabelled_endpoint_gets_no_new_work) {
    this->start("drain-label");
    const std::string name = this->all->endpoints().front()->options.name;
    const auto last = this->last_start_after([&] {
        EXPECT_EQ(this->all->operate({"label", "endpoint", name, "state=drained"}).exit_status, 0);
    });
    std::cout << "last new work " << last.count() << " ms after the label was accepted" << std::endl;
    EXPECT_LE(last, drain_limit);
    this->finish();
}

// Guards against new work on a host that the platform takes away. The platform's list itself lags by 100 ms here.
TEST_F(drain_test, endpoint_of_a_leaving_host_gets_no_new_work) {
    this->start("drain-host");
    const std::string host = this->all->endpoints().front()->options.host;
    const auto last = this->last_start_after([&] {
        http_request request;
        request.method = "PUT";
        request.path = "/standin/hosts";
        request.body = R"({"live":[],"leaving":[")" + host + R"("]})";
        EXPECT_EQ(send_http(this->all->platform().http, request).status, 200);
    });
    std::cout << "last new work " << last.count() << " ms after the platform listed the host" << std::endl;
    EXPECT_LE(last, drain_limit);
    this->finish();
}

} // namespace
} // namespace pomelohoist::faults
