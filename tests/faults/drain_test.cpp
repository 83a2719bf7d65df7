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
// Maximum time from the end of the drain command to the last request that the drained endpoint starts.
constexpr auto drain_limit = 2000ms;

/// A running deployment under traffic.
class drain_test : public testing::Test {
  protected:
    void start(const std::string& folder) {
        this->cluster = std::make_unique<deployment>(POMELOHOIST_BIN_DIR, make_work_folder(folder));
        start_deployment(*this->cluster);
        workload_options options;
        options.callers = 6;
        this->traffic = std::make_unique<workload>(entries_of(*this->cluster), options, journals_of(*this->cluster));
        this->traffic->start();
        std::this_thread::sleep_for(warm_up);
    }

    /// Drains the first endpoint.
    /// @returns the time from the end of the drain command to the last request that the endpoint started
    std::chrono::milliseconds last_start_after(const std::function<void()>& drain) {
        const net_address standin = this->cluster->endpoints().front()->standin.http;
        EXPECT_GT(sum_of(read_counts(standin), "started"), 0U) << "no traffic before the drain";
        const std::uint64_t started_before = this->started_elsewhere();
        drain();
        const auto drained_at = steady::now();
        auto last_change = drained_at;
        std::uint64_t last_count = sum_of(read_counts(standin), "started");
        while (steady::now() < drained_at + observe_time) {
            const std::uint64_t count = sum_of(read_counts(standin), "started");
            if (count != last_count) {
                last_count = count;
                last_change = steady::now();
            }
            std::this_thread::sleep_for(poll_pause);
        }
        EXPECT_GT(this->started_elsewhere(), started_before)
            << "no traffic is left that could have reached the endpoint";
        return std::chrono::duration_cast<std::chrono::milliseconds>(last_change - drained_at);
    }

    /// @returns number of requests started by the model endpoints other than the drained endpoint
    std::uint64_t started_elsewhere() {
        std::uint64_t sum = 0;
        for (const auto& endpoint : this->cluster->endpoints()) {
            if (endpoint != this->cluster->endpoints().front() && endpoint->options.kind == "model") {
                sum += sum_of(read_counts(endpoint->standin.http), "started");
            }
        }
        return sum;
    }

    void finish() {
        const workload_report report = this->traffic->stop();
        EXPECT_TRUE(report.violations.empty()) << report.violations.front();
        EXPECT_GT(report.complete_drafts, 0U);
        EXPECT_TRUE(this->cluster->stop_all().empty());
    }

    std::unique_ptr<deployment> cluster;
    std::unique_ptr<workload> traffic;
};

// Guards against new work on an endpoint whose label state has been set to drained.
TEST_F(drain_test, relabelled_endpoint_gets_no_new_work) {
    this->start("drain-label");
    const std::string name = this->cluster->endpoints().front()->options.name;
    const auto last = this->last_start_after([&] {
        EXPECT_EQ(this->cluster->operate({"label", "endpoint", name, "state=drained"}).exit_status, 0);
    });
    std::cout << "last new work " << last.count() << " ms after the label was accepted" << std::endl;
    EXPECT_LE(last, drain_limit);
    this->finish();
}

// Guards against new work on a host that the platform lists as leaving. The host list of the platform lags by 100 ms.
TEST_F(drain_test, endpoint_of_a_leaving_host_gets_no_new_work) {
    this->start("drain-host");
    const std::string host = this->cluster->endpoints().front()->options.host;
    const auto last = this->last_start_after([&] {
        http_request request;
        request.method = "PUT";
        request.path = "/standin/hosts";
        request.body = R"({"live":[],"leaving":[")" + host + R"("]})";
        EXPECT_EQ(send_http(this->cluster->platform().http, request).status, 200);
    });
    std::cout << "last new work " << last.count() << " ms after the platform listed the host" << std::endl;
    EXPECT_LE(last, drain_limit);
    this->finish();
}

} // namespace
} // namespace pomelohoist::faults
