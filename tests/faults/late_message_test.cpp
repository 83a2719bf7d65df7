#include "faults/fault_schedule.h"
#include "faults/work_folder.h"
#include "inner/datagram_endpoint.h"
#include "inner/frame_channel.h"
#include "support/deployment.h"
#include "support/standin_answers.h"

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

/// Speaks the inner protocol to a real agent before a real service stand-in.
class late_message_test : public testing::Test {
  protected:
    void start(const std::string& folder) {
        this->all = std::make_unique<deployment>(POMELOHOIST_BIN_DIR, make_work_folder(folder));
        start_deployment(*this->all);
        this->target = this->all->endpoints().back().get();
        this->caller.start(nullptr);
    }

    void TearDown() override {
        this->caller.stop();
        EXPECT_TRUE(this->all->stop_all().empty());
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
        const auto reply = inner::call_datagram<inner::reserve_response>(this->caller, this->target->agent.inner,
                                                                         run.reservation, call_timeout);
        EXPECT_TRUE(reply && reply->accepted) << (reply ? reply->reason : reply.last_error().reason);
        run.granted = reply && reply->accepted ? reply->accepted->granted : ticket{};
        run.method = "POST";
        run.path = "/bookings";
        run.headers = {{"X-Request-Id", "late"}};
        run.body = "booking";
        return run;
    }

    /// @returns the type of the last packet of the answer
    inner::message_type present(const inner::run_request& run) {
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
        const auto reply = inner::call_datagram<inner::cancel_response>(
            this->caller, this->target->agent.inner, inner::cancel_request{granted, false}, call_timeout);
        EXPECT_TRUE(reply);
        return reply ? reply->state : inner::ticket_state::count;
    }

    std::uint64_t runs() {
        count_table counts = read_counts(this->target->standin.http);
        return counts["requests"]["late"];
    }

    system_clock time;
    std::unique_ptr<deployment> all;
    running_endpoint* target{nullptr};
    inner::datagram_endpoint caller{{"127.0.0.1", 0}, "late-message-test", time};
};

// Guards against a run message that arrives after its agent has restarted: the earlier incarnation may have run it.
TEST_F(late_message_test, ticket_of_an_earlier_incarnation_is_refused) {
    this->start("late-incarnation");
    const inner::run_request run = this->reserve();
    this->target->agent.process->kill();
    this->all->restart_agent(*this->target);
    while (this->configuration_version() == 0) {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_EQ(this->cancel(run.granted), inner::ticket_state::unknown);
    EXPECT_EQ(this->present(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 0U);
}

// Guards against a run message that is delivered twice.
TEST_F(late_message_test, repeated_run_message_runs_once) {
    this->start("late-repeated");
    const inner::run_request run = this->reserve();
    EXPECT_EQ(this->present(run), inner::message_type::run_end);
    EXPECT_EQ(this->present(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 1U);
}

// Guards against a run message that arrives after "not started" was answered.
TEST_F(late_message_test, run_after_cancel_is_refused) {
    this->start("late-cancelled");
    const inner::run_request run = this->reserve();
    EXPECT_EQ(this->cancel(run.granted), inner::ticket_state::not_started);
    EXPECT_EQ(this->cancel(run.granted), inner::ticket_state::not_started);
    EXPECT_EQ(this->present(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 0U);
}

// Guards against a ticket that is used for another request than it was given for.
TEST_F(late_message_test, ticket_of_another_request_is_refused) {
    this->start("late-other");
    inner::run_request run = this->reserve();
    run.reservation.digest = "digest-of-another-request";
    EXPECT_EQ(this->present(run), inner::message_type::run_refused);
    EXPECT_EQ(this->runs(), 0U);
}

} // namespace
} // namespace pomelohoist::faults
