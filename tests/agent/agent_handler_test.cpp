#include "agent/suspect_learner.h"
#include "agent_fakes.h"

namespace pomelohoist {
namespace {

using inner::ticket_state;

// Guards against chunks without their ticket or number, and against an end that does not count them.
TEST_F(agent_test, answer_is_numbered_and_ended) {
    this->driver.released = true;
    const auto request = this->make_request("r1");
    const ticket id = this->granted(request);
    auto channel = this->run(id, request);
    EXPECT_EQ(this->expect<inner::run_head>(channel).http_status, 200);
    EXPECT_EQ(this->expect<inner::run_chunk>(channel), (inner::run_chunk{id, 0, "first "}));
    EXPECT_EQ(this->expect<inner::run_chunk>(channel), (inner::run_chunk{id, 1, "second"}));
    EXPECT_EQ(this->expect<inner::run_end>(channel), (inner::run_end{id, 2, std::nullopt, ""}));
    EXPECT_TRUE(eventually([&] { return this->outcome(id).state == ticket_state::started; }));
}

// Guards against a second run of a repeated run message, during and after the first.
TEST_F(agent_test, repeated_run_message_is_refused) {
    const auto request = this->make_request("r1");
    const ticket id = this->granted(request);
    auto first = this->run(id, request);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    auto second = this->run(id, request);
    EXPECT_EQ(this->expect<inner::run_refused>(second).kind, error_kind::in_progress);
    this->driver.released = true;
    this->expect<inner::run_head>(first);
    ASSERT_TRUE(eventually([&] { return this->cancel(id) == ticket_state::started; }));
    ASSERT_TRUE(eventually([&] { return this->tickets.open_count() == 0; }));
    auto third = this->run(id, request);
    EXPECT_EQ(this->expect<inner::run_refused>(third).kind, error_kind::outcome_unknown);
    EXPECT_EQ(this->driver.starts, 1);
}

// Guards against a queued request that runs after its cancel was answered "not started".
TEST_F(agent_test, cancelled_queued_run_never_starts) {
    const auto first = this->make_request("r1");
    auto running = this->run(this->granted(first), first);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    const auto second = this->make_request("r2");
    const ticket id = this->granted(second);
    auto queued = this->run(id, second);
    ASSERT_TRUE(eventually([&] { return this->scheduler.queued() == 1; }));
    EXPECT_EQ(this->cancel(id), ticket_state::not_started);
    EXPECT_EQ(this->expect<inner::run_refused>(queued).kind, error_kind::ticket_refused);
    this->driver.released = true;
    this->expect<inner::run_head>(running);
    EXPECT_EQ(this->cancel(id), ticket_state::not_started);
    EXPECT_EQ(this->driver.starts, 1);
}

// Guards against a booking that is cut off, or whose answer is lost, because its entry died.
TEST_F(agent_test, non_idempotent_run_survives_its_entry) {
    auto request = this->make_request("r1");
    request.idempotent = false;
    const ticket id = this->granted(request);
    {
        auto channel = this->run(id, request);
        ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
        channel.abort();
    }
    EXPECT_EQ(this->outcome(id).state, ticket_state::running);
    EXPECT_EQ(this->cancel(id, true), ticket_state::started);
    this->driver.released = true;
    ASSERT_TRUE(eventually([&] { return this->outcome(id).state == ticket_state::completed; }));
    EXPECT_EQ(this->outcome(id).response, (inner::stored_response{200, "text/plain", "first second"}));
    EXPECT_EQ(this->driver.aborts, 0);
}

// Guards against endpoint time spent on answers that nobody waits for.
TEST_F(agent_test, idempotent_run_ends_with_its_entry) {
    const auto request = this->make_request("r1");
    {
        auto channel = this->run(this->granted(request), request);
        ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
        channel.abort();
    }
    EXPECT_TRUE(eventually([&] { return this->driver.aborts == 1 && this->tickets.open_count() == 0; }));

    const auto other_request = this->make_request("r2");
    const ticket id = this->granted(other_request);
    auto channel = this->run(id, other_request);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 2; }));
    EXPECT_EQ(this->cancel(id, true), ticket_state::started);
    EXPECT_TRUE(this->expect<inner::run_end>(channel).failed);
}

// Guards against a run that starts after the question for its outcome was answered "not started".
TEST_F(agent_test, outcome_voids_an_unused_ticket) {
    auto request = this->make_request("r1");
    const ticket id = this->granted(request);
    EXPECT_EQ(this->outcome(id).state, ticket_state::not_started);
    auto channel = this->run(id, request);
    EXPECT_EQ(this->expect<inner::run_refused>(channel).kind, error_kind::ticket_refused);
    EXPECT_EQ(this->outcome({98, id.number}).state, ticket_state::unknown);
    EXPECT_EQ(this->driver.starts, 0);
}

// Guards against another body under a ticket, and against tickets of an earlier process.
TEST_F(agent_test, foreign_tickets_and_bodies_are_refused) {
    const auto request = this->make_request("r1");
    auto other_body = this->run(this->granted(request), this->make_request("r2"));
    EXPECT_EQ(this->expect<inner::run_refused>(other_body).kind, error_kind::ticket_refused);
    auto old_ticket = this->run({98, 1}, request);
    EXPECT_EQ(this->expect<inner::run_refused>(old_ticket).kind, error_kind::ticket_refused);
    EXPECT_EQ(this->driver.starts, 0);
}

// Guards against work under a configuration that is no longer in force at one of the two sides.
TEST_F(agent_test, configuration_versions_are_reconciled) {
    auto request = this->make_request("r1");
    request.configuration_version = 4;
    EXPECT_EQ(this->refusal(request), error_kind::stale_configuration);
    request.configuration_version = 6;
    EXPECT_EQ(this->refusal(request), error_kind::not_ready);
    EXPECT_EQ(this->source.last_pulled_from(), request.sender_address);
    this->source.set_at_peer(
        make_test_configuration(6, this->listener.local_address(), this->other.local_address(), "up"));
    EXPECT_EQ(this->refusal(request), error_kind::count);
    EXPECT_EQ(this->source.current()->version(), 6U);
    this->source.set(std::make_shared<const configuration>());
    request.configuration_version = 0;
    EXPECT_EQ(this->refusal(request), error_kind::not_ready);
}

// Guards against new work on an endpoint that leaves, and against granted work that is cut off by the drain.
TEST_F(agent_test, drain_refuses_new_and_runs_granted_work) {
    this->driver.released = true;
    auto request = this->make_request("r1");
    const ticket before = this->granted(request);
    this->source.leaving = true;
    EXPECT_EQ(this->refusal(request), error_kind::draining);
    this->source.leaving = false;
    this->declare(5, "drained");
    EXPECT_EQ(this->refusal(request), error_kind::draining);
    this->declare(5, "up");
    EXPECT_EQ(this->refusal(request), error_kind::count);
    this->handler.begin_drain();
    EXPECT_EQ(this->refusal(request), error_kind::draining);
    auto channel = this->run(before, request);
    EXPECT_EQ(this->expect<inner::run_head>(channel).http_status, 200);
}

// Guards against a request that kills one endpoint after the other: the others must know before its run ends.
TEST_F(agent_test, death_is_published_before_the_run_ends) {
    const auto request = this->make_request("r1");
    for (int death = 1; death <= 2; ++death) {
        auto channel = this->run(this->granted(request), request);
        ASSERT_TRUE(eventually([&] { return this->driver.starts == death; }));
        this->driver.healthy = false;
        this->driver.broken = true;
        const auto end = this->expect<inner::run_end>(channel);
        EXPECT_EQ(this->receiver.reports, death);
        EXPECT_EQ(end.failed, error_kind::endpoint_failed);
        EXPECT_EQ(this->suspects.deaths(request.digest), static_cast<std::uint32_t>(death));
        EXPECT_EQ(this->refusal(this->make_request("r2")), error_kind::not_ready);
        this->driver.broken = false;
        this->driver.healthy = true;
        ++this->driver.boots;
        this->monitor.check();
        EXPECT_EQ(this->refusal(this->make_request("r2")), error_kind::count);
    }
    EXPECT_EQ(this->refusal(request), error_kind::request_quarantined);
}

// Guards against suspicion of requests whose connection broke while the endpoint lived on.
TEST_F(agent_test, broken_connection_alone_makes_no_suspect) {
    const auto request = this->make_request("r1");
    auto channel = this->run(this->granted(request), request);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    this->driver.broken = true;
    EXPECT_EQ(this->expect<inner::run_end>(channel).failed, error_kind::endpoint_failed);
    EXPECT_EQ(this->suspects.deaths(request.digest), 0U);
    EXPECT_EQ(this->receiver.reports, 0);
}

// Guards against a queued request that starts after reports have put it into quarantine.
TEST_F(agent_test, quarantine_reaches_the_queue) {
    const auto first = this->make_request("r1");
    auto running = this->run(this->granted(first), first);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    const auto second = this->make_request("r2");
    auto queued = this->run(this->granted(second), second);
    ASSERT_TRUE(eventually([&] { return this->scheduler.queued() == 1; }));
    for (const std::uint64_t death : {1U, 1U, 2U}) {
        const inner::suspect_report report{"e" + std::to_string(death), false, {{second.digest, {death, 1}}}};
        EXPECT_TRUE(inner::call_datagram<inner::suspect_ack>(this->client, this->listener.local_address(), report,
                                                             call_timeout));
    }
    this->driver.released = true;
    EXPECT_EQ(this->expect<inner::run_refused>(queued).kind, error_kind::request_quarantined);
    EXPECT_EQ(this->driver.starts, 1);
}

// Guards against an entry that suspects a request which only waited when the agent was lost, or that does not suspect
// one which had started.
TEST_F(agent_test, entries_hear_of_the_wait_and_its_end) {
    const auto first = this->make_request("r1");
    auto running = this->run(this->granted(first), first);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    const auto second = this->make_request("r2");
    auto queued = this->run(this->granted(second), second);
    EXPECT_FALSE(this->expect<inner::run_progress>(queued).started);
    EXPECT_EQ(this->driver.starts, 1);
    this->driver.released = true;
    EXPECT_TRUE(this->expect<inner::run_progress>(queued).started);
    EXPECT_EQ(this->expect<inner::run_head>(queued).http_status, 200);
    const result<inner::packet> begun = running.receive(call_timeout);
    ASSERT_TRUE(begun);
    EXPECT_EQ(begun->type, inner::message_type::run_head);
}

// Guards against an agent that restarts and runs what its peers know to be in quarantine.
TEST_F(agent_test, a_starting_agent_learns_suspects) {
    this->suspects.record({"e1", false, {{"d", {1, 1}}}});
    this->suspects.record({"e2", false, {{"d", {2, 1}}}});
    suspect_list restarted{this->time};
    suspect_learner learner{this->source, "agent-2", "e2", restarted};
    learner.learn();
    EXPECT_TRUE(restarted.is_complete());
    EXPECT_TRUE(restarted.is_quarantined("d"));
}

// Guards against orders of an old lease holder, and against a trace that ends at the agent.
TEST_F(agent_test, old_epochs_are_refused_and_the_trace_goes_on) {
    this->driver.released = true;
    const auto request = this->make_request("r1");
    for (const std::uint64_t epoch : {7U, 6U}) {
        auto channel = inner::frame_channel::connect(this->listener.local_address(), "entry", call_timeout);
        inner::run_request order;
        order.granted = this->granted(request);
        order.reservation = request;
        order.method = "POST";
        order.path = "/orders";
        order.trace = {std::string(32, 'a'), std::string(16, 'b')};
        order.fencing_epoch = epoch;
        ASSERT_TRUE(channel && channel->send(order));
        if (epoch == 7) {
            this->expect<inner::run_head>(*channel);
        } else {
            EXPECT_EQ(this->expect<inner::run_refused>(*channel).kind, error_kind::stale_epoch);
        }
    }
    EXPECT_EQ(this->driver.starts, 1);
    EXPECT_EQ(this->driver.latest().headers.at(0).name, "traceparent");
    EXPECT_EQ(this->driver.latest().headers.at(0).value.substr(3, 32), std::string(32, 'a'));
}

/// What one entry saw of a request whose run and cancel it sent at the same time.
struct race_outcome {
    std::string request_id;
    bool told_not_started{false};
};

// Guards against a cancel that is answered "not started" while the run message of the same ticket, or its repetition,
// starts the run.
TEST_F(agent_test, racing_run_and_cancel_agree) {
    constexpr int entries = 6;
    constexpr int rounds = 25;
    this->driver.released = true;
    std::mutex mutex;
    std::vector<race_outcome> outcomes;
    std::vector<std::thread> threads;
    threads.reserve(entries);
    for (int entry = 0; entry < entries; ++entry) {
        threads.emplace_back([this, entry, &mutex, &outcomes] {
            for (int round = 0; round < rounds; ++round) {
                const auto request = this->make_request(std::to_string(entry) + "-" + std::to_string(round));
                const ticket id = this->granted(request);
                auto first = this->run(id, request);
                auto repeated = this->run(id, request);
                std::this_thread::sleep_for(std::chrono::microseconds{100 * (round % 10)});
                const bool not_started = this->cancel(id) == ticket_state::not_started;
                static_cast<void>(first.receive(call_timeout));
                static_cast<void>(repeated.receive(call_timeout));
                const std::lock_guard lock{mutex};
                outcomes.push_back({request.request_id, not_started});
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    ASSERT_TRUE(eventually([&] { return this->tickets.open_count() == 0; }));
    int voided = 0;
    for (const race_outcome& seen : outcomes) {
        EXPECT_EQ(this->driver.starts_of(seen.request_id), seen.told_not_started ? 0 : 1) << seen.request_id;
        voided += seen.told_not_started ? 1 : 0;
    }
    RecordProperty("voided", voided);
    EXPECT_EQ(outcomes.size(), static_cast<std::size_t>(entries * rounds));
}

} // namespace
} // namespace pomelohoist
