#include "faults/fault_schedule.h"
#include "faults/work_folder.h"
#include "inner/datagram_endpoint.h"
#include "inner/frame_channel.h"
#include "support/deployment.h"
#include "support/standin_responses.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace pomelohoist::faults {
namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr auto call_timeout = 3000ms;

/// Sends messages of the inner protocol to a real agent with a real service stand-in.
class late_message_test : public testing::Test {
  protected:
    void start(const std::string& folder) {
        this->cluster = std::make_unique<deployment>(POMELOHOIST_BIN_DIR, make_work_folder(folder));
        start_deployment(*this->cluster);
        this->target = this->cluster->endpoints().back().get();
        this->caller.start(nullptr);
    }

    void TearDown() override {
        this->caller.stop();
        EXPECT_TRUE(this->cluster->stop_all().empty());
    }

    std::uint64_t configuration_version() {
        const auto status = inner::call_datagram<inner::status_response>(this->caller, this->target->agent.inner,
                                                                         inner::status_request{}, call_timeout);
        return status ? status->configuration_version : 0;
    }

    inner::reserve_request reservation() {
        inner::reserve_request request;
        request.request_id = "late";
        request.workspace = "team";
        request.application = "bookings";
        request.configuration_version = this->configuration_version();
        request.digest = "digest-of-the-request";
        request.deadline_ms = 10000;
        request.idempotent = false;
        return request;
    }

    inner::run_request reserve() {
        inner::run_request run;
        run.reservation = this->reservation();
        const auto response = inner::call_datagram<inner::reserve_response>(this->caller, this->target->agent.inner,
                                                                            run.reservation, call_timeout);
        EXPECT_TRUE(response && response->accepted) << (response ? response->reason : response.last_error().reason);
        run.granted = response && response->accepted ? response->accepted->granted : ticket{};
        run.method = "POST";
        run.path = "/bookings";
        run.headers = {{"X-Request-Id", "late"}};
        run.body = "booking";
        return run;
    }

    /// Sends the run message on a new connection.
    /// @returns the type of the last packet of the response
    inner::message_type send_run(const inner::run_request& run) {
        auto channel = inner::frame_channel::connect(this->target->agent.inner, "late-message-test", call_timeout);
        EXPECT_TRUE(channel);
        EXPECT_TRUE(channel->send(run));
        auto last = inner::message_type::failure_response;
        while (true) {
            const auto received = channel->receive(call_timeout);
            if (!received) {
                return last;
            }
            last = received->type;
        }
    }

    inner::ticket_state cancel(const ticket& granted) {
        const auto response = inner::call_datagram<inner::cancel_response>(
            this->caller, this->target->agent.inner, inner::cancel_request{granted, false}, call_timeout);
        EXPECT_TRUE(response);
        return response ? response->state : inner::ticket_state::count;
    }

    std::uint64_t runs() {
        count_table counts = read_counts(this->target->standin.http);
        return counts["requests"]["late"];
    }

    system_clock time;
    std::unique_ptr<deployment> cluster;
    running_endpoint* target{nullptr};
    inner::datagram_endpoint caller{{"127.0.0.1", 0}, "late-message-test", time};
};

// Guards against a run message that arrives after its agent has restarted: the agent may have run it before the
// restart.
TEST_F(late_message_test, ticket_of_an_earlier_incarnation_is_refused) {
    this->start("late-incarnation");
    const inner::run_request run = this->reserve();
    this->target->agent.process->kill();
    this->cluster->restart_agent(*this->target);
    while (this->configuration_version() == 0) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_EQ(this->cancel(run.granted), inner::ticket_state::unknown);
    EXPECT_EQ(this->send_run(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 0U);
}

// Guards against a run message that is delivered twice.
TEST_F(late_message_test, duplicate_run_message_runs_once) {
    this->start("late-repeated");
    const inner::run_request run = this->reserve();
    EXPECT_EQ(this->send_run(run), inner::message_type::run_end);
    EXPECT_EQ(this->send_run(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 1U);
}

// Guards against a run message that arrives after the agent has responded "not started" to a cancel.
TEST_F(late_message_test, run_after_cancel_is_refused) {
    this->start("late-cancelled");
    const inner::run_request run = this->reserve();
    EXPECT_EQ(this->cancel(run.granted), inner::ticket_state::not_started);
    EXPECT_EQ(this->cancel(run.granted), inner::ticket_state::not_started);
    EXPECT_EQ(this->send_run(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 0U);
}

// Guards against a ticket that is used for a request other than the one it was granted for.
TEST_F(late_message_test, ticket_of_another_request_is_refused) {
    this->start("late-other");
    inner::run_request run = this->reserve();
    run.reservation.digest = "digest-of-another-request";
    EXPECT_EQ(this->send_run(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 0U);
}

} // namespace
} // namespace pomelohoist::faults
