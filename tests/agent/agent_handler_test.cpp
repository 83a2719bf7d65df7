#include "agent/suspect_loader.h"
#include "agent_fakes.h"

namespace pomelohoist {
namespace {

using inner::ticket_state;

// Guards against chunks with a wrong ticket or number, and against a wrong chunk count in the end message.
TEST_F(agent_test, response_chunks_are_numbered_and_counted) {
    this->driver.released = true;
    const auto request = this->make_request("r1");
    const ticket id = this->reserve_ticket(request);
    auto channel = this->run(id, request);
    EXPECT_EQ(this->expect<inner::run_head>(channel).http_status, 200);
    EXPECT_EQ(this->expect<inner::run_chunk>(channel), (inner::run_chunk{id, 0, "first "}));
    EXPECT_EQ(this->expect<inner::run_chunk>(channel), (inner::run_chunk{id, 1, "second"}));
    EXPECT_EQ(this->expect<inner::run_end>(channel), (inner::run_end{id, 2, std::nullopt, ""}));
    EXPECT_TRUE(eventually([&] { return this->outcome(id).state == ticket_state::started; }));
}

// Guards against a second run when a run message is retried during or after the first run.
TEST_F(agent_test, retried_run_message_is_refused) {
    const auto request = this->make_request("r1");
    const ticket id = this->reserve_ticket(request);
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

// Guards against a queued request that runs after its cancel returned "not started".
TEST_F(agent_test, cancelled_queued_run_never_starts) {
    const auto first = this->make_request("r1");
    auto running = this->run(this->reserve_ticket(first), first);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    const auto second = this->make_request("r2");
    const ticket id = this->reserve_ticket(second);
    auto queued = this->run(id, second);
    ASSERT_TRUE(eventually([&] { return this->scheduler.queued() == 1; }));
    EXPECT_EQ(this->cancel(id), ticket_state::not_started);
    EXPECT_EQ(this->expect<inner::run_refused>(queued).kind, error_kind::ticket_refused);
    this->driver.released = true;
    this->expect<inner::run_head>(running);
    EXPECT_EQ(this->cancel(id), ticket_state::not_started);
    EXPECT_EQ(this->driver.starts, 1);
}

// Guards against a non-idempotent run that is aborted, or whose response is lost, because its entry crashed.
TEST_F(agent_test, non_idempotent_run_completes_after_its_entry_disconnects) {
    auto request = this->make_request("r1");
    request.idempotent = false;
    const ticket id = this->reserve_ticket(request);
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

// Guards against an idempotent run that continues to use the endpoint after its entry has disconnected.
TEST_F(agent_test, idempotent_run_is_aborted_when_its_entry_disconnects) {
    const auto request = this->make_request("r1");
    {
        auto channel = this->run(this->reserve_ticket(request), request);
        ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
        channel.abort();
    }
    EXPECT_TRUE(eventually([&] { return this->driver.aborts == 1 && this->tickets.open_count() == 0; }));

    const auto other_request = this->make_request("r2");
    const ticket id = this->reserve_ticket(other_request);
    auto channel = this->run(id, other_request);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 2; }));
    EXPECT_EQ(this->cancel(id, true), ticket_state::started);
    EXPECT_TRUE(this->expect<inner::run_end>(channel).failed);
}

// Guards against a run that starts after an outcome request returned "not started".
TEST_F(agent_test, outcome_request_voids_an_unused_ticket) {
    auto request = this->make_request("r1");
    const ticket id = this->reserve_ticket(request);
    EXPECT_EQ(this->outcome(id).state, ticket_state::not_started);
    auto channel = this->run(id, request);
    EXPECT_EQ(this->expect<inner::run_refused>(channel).kind, error_kind::ticket_refused);
    EXPECT_EQ(this->outcome({98, id.number}).state, ticket_state::unknown);
    EXPECT_EQ(this->driver.starts, 0);
}

// Guards against running a body that differs from the reserved body, and against tickets of an earlier process.
TEST_F(agent_test, old_tickets_and_different_bodies_are_refused) {
    const auto request = this->make_request("r1");
    auto other_body = this->run(this->reserve_ticket(request), this->make_request("r2"));
    EXPECT_EQ(this->expect<inner::run_refused>(other_body).kind, error_kind::ticket_refused);
    auto old_ticket = this->run({98, 1}, request);
    EXPECT_EQ(this->expect<inner::run_refused>(old_ticket).kind, error_kind::ticket_refused);
    EXPECT_EQ(this->driver.starts, 0);
}

// Guards against runs under a configuration that either the entry or the agent has already replaced.
TEST_F(agent_test, configuration_versions_are_reconciled) {
    auto request = this->make_request("r1");
    request.configuration_version = 4;
    EXPECT_EQ(this->refusal(request), error_kind::stale_configuration);
    request.configuration_version = 6;
    EXPECT_EQ(this->refusal(request), error_kind::not_ready);
    EXPECT_EQ(this->source.last_pulled_from(), request.sender_address);
    this->source.set_peer_configuration(
        make_test_configuration(6, this->listener.local_address(), this->peer.local_address(), "up"));
    EXPECT_EQ(this->refusal(request), error_kind::count);
    EXPECT_EQ(this->source.current()->version(), 6U);
    this->source.set(std::make_shared<const configuration>());
    request.configuration_version = 0;
    EXPECT_EQ(this->refusal(request), error_kind::not_ready);
}

// Guards against new requests on a draining endpoint, and against granted requests that the drain refuses.
TEST_F(agent_test, drain_refuses_new_and_runs_granted_requests) {
    this->driver.released = true;
    auto request = this->make_request("r1");
    const ticket granted_ticket = this->reserve_ticket(request);
    this->source.leaving = true;
    EXPECT_EQ(this->refusal(request), error_kind::draining);
    this->source.leaving = false;
    this->declare(5, "drained");
    EXPECT_EQ(this->refusal(request), error_kind::draining);
    this->declare(5, "up");
    EXPECT_EQ(this->refusal(request), error_kind::count);
    this->handler.begin_drain();
    EXPECT_EQ(this->refusal(request), error_kind::draining);
    auto channel = this->run(granted_ticket, request);
    EXPECT_EQ(this->expect<inner::run_head>(channel).http_status, 200);
}

// Guards against a request that crashes several endpoints: peers must receive the crash report before the
// entry receives the end of the run.
TEST_F(agent_test, crash_is_published_before_the_run_ends) {
    const auto request = this->make_request("r1");
    for (int crash = 1; crash <= 2; ++crash) {
        auto channel = this->run(this->reserve_ticket(request), request);
        ASSERT_TRUE(eventually([&] { return this->driver.starts == crash; }));
        this->driver.healthy = false;
        this->driver.broken = true;
        const auto end = this->expect<inner::run_end>(channel);
        EXPECT_EQ(this->receiver.reports, crash);
        EXPECT_EQ(end.failed, error_kind::endpoint_failed);
        EXPECT_EQ(this->suspects.crash_count(request.digest), static_cast<std::uint32_t>(crash));
        EXPECT_EQ(this->refusal(this->make_request("r2")), error_kind::not_ready);
        this->driver.broken = false;
        this->driver.healthy = true;
        ++this->driver.boots;
        this->monitor.check();
        EXPECT_EQ(this->refusal(this->make_request("r2")), error_kind::count);
    }
    EXPECT_EQ(this->refusal(request), error_kind::request_quarantined);
}

// Guards against recording a suspect when the connection to the endpoint broke but the endpoint did not crash.
TEST_F(agent_test, broken_connection_alone_adds_no_suspect) {
    const auto request = this->make_request("r1");
    auto channel = this->run(this->reserve_ticket(request), request);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    this->driver.broken = true;
    EXPECT_EQ(this->expect<inner::run_end>(channel).failed, error_kind::endpoint_failed);
    EXPECT_EQ(this->suspects.crash_count(request.digest), 0U);
    EXPECT_EQ(this->receiver.reports, 0);
}

// Guards against a queued request that starts after suspect reports have quarantined it.
TEST_F(agent_test, quarantine_applies_to_queued_requests) {
    const auto first = this->make_request("r1");
    auto running = this->run(this->reserve_ticket(first), first);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    const auto second = this->make_request("r2");
    auto queued = this->run(this->reserve_ticket(second), second);
    ASSERT_TRUE(eventually([&] { return this->scheduler.queued() == 1; }));
    for (const std::uint64_t crash : {1U, 1U, 2U}) {
        const inner::suspect_report report{"e" + std::to_string(crash), false, {{second.digest, {crash, 1}}}};
        EXPECT_TRUE(inner::call_datagram<inner::suspect_ack>(this->client, this->listener.local_address(), report,
                                                             call_timeout));
    }
    this->driver.released = true;
    EXPECT_EQ(this->expect<inner::run_refused>(queued).kind, error_kind::request_quarantined);
    EXPECT_EQ(this->driver.starts, 1);
}

// Guards against an entry that records a suspect for a request that was only queued when the agent was lost, or records
// none for a request that had started.
TEST_F(agent_test, run_progress_reports_queueing_and_start) {
    const auto first = this->make_request("r1");
    auto running = this->run(this->reserve_ticket(first), first);
    ASSERT_TRUE(eventually([&] { return this->driver.starts == 1; }));
    const auto second = this->make_request("r2");
    auto queued = this->run(this->reserve_ticket(second), second);
    EXPECT_FALSE(this->expect<inner::run_progress>(queued).started);
    EXPECT_EQ(this->driver.starts, 1);
    this->driver.released = true;
    EXPECT_TRUE(this->expect<inner::run_progress>(queued).started);
    EXPECT_EQ(this->expect<inner::run_head>(queued).http_status, 200);
    const result<inner::packet> begun = running.receive(call_timeout);
    ASSERT_TRUE(begun);
    EXPECT_EQ(begun->type, inner::message_type::run_head);
}

// Guards against a restarted agent that runs requests which its peers have quarantined.
TEST_F(agent_test, a_starting_agent_loads_suspects_from_peers) {
    this->suspects.record({"e1", false, {{"d", {1, 1}}}});
    this->suspects.record({"e2", false, {{"d", {2, 1}}}});
    suspect_list restarted{this->time};
    suspect_loader loader{this->source, "agent-2", "e2", restarted};
    loader.load_from_peers();
    EXPECT_TRUE(restarted.is_complete());
    EXPECT_TRUE(restarted.is_quarantined("d"));
}

// Guards against accepting a run message with the fencing epoch of an earlier lease holder, and against a lost trace
// context.
TEST_F(agent_test, old_epochs_are_refused_and_trace_context_is_forwarded) {
    this->driver.released = true;
    const auto request = this->make_request("r1");
    for (const std::uint64_t epoch : {7U, 6U}) {
        auto channel = inner::frame_channel::connect(this->listener.local_address(), "entry", call_timeout);
        inner::run_request command;
        command.granted = this->reserve_ticket(request);
        command.reservation = request;
        command.method = "POST";
        command.path = "/orders";
        command.trace = {std::string(32, 'a'), std::string(16, 'b')};
        command.fencing_epoch = epoch;
        ASSERT_TRUE(channel && channel->send(command));
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

/// Result that an entry received for a request whose run and cancel were sent concurrently.
struct race_outcome {
    std::string request_id;
    bool reported_not_started{false};
};

// Guards against a cancel that returns "not started" although the run message of the same ticket, or its retry, starts
// the run.
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
                const ticket id = this->reserve_ticket(request);
                auto first = this->run(id, request);
                auto retried = this->run(id, request);
                std::this_thread::sleep_for(std::chrono::microseconds{100 * (round % 10)});
                const bool not_started = this->cancel(id) == ticket_state::not_started;
                static_cast<void>(first.receive(call_timeout));
                static_cast<void>(retried.receive(call_timeout));
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
    for (const race_outcome& observed : outcomes) {
        EXPECT_EQ(this->driver.starts_of(observed.request_id), observed.reported_not_started ? 0 : 1)
            << observed.request_id;
        voided += observed.reported_not_started ? 1 : 0;
    }
    RecordProperty("voided", voided);
    EXPECT_EQ(outcomes.size(), static_cast<std::size_t>(entries * rounds));
}

} // namespace
} // namespace pomelohoist
