#include "entry_fixture.h"

namespace pomelohoist {
namespace {

class forwarder_test : public entry_fixture {};

// Guards against a response that is altered by the entry, and against lost request ids and trace contexts.
TEST_F(forwarder_test, forwards_complete_responses) {
    this->start_agents(2);
    const http_call plain = model(false, {{"X-Request-Id", "id-7"}});
    const call_result response = this->call(plain);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "echo:" + plain.body);
    EXPECT_EQ(response.request_id, "id-7");
    EXPECT_FALSE(this->agents[0]->last_run().trace.trace_id.empty());
    EXPECT_EQ(this->call(model(true)).body, complete_stream());
}

// Guards against spans that are not part of the caller's trace.
TEST_F(forwarder_test, joins_spans_to_the_callers_trace) {
    this->start_agents(1);
    const std::string trace_id(32, 'a');
    this->call(model(false, {{"traceparent", "00-" + trace_id + "-" + std::string(16, 'b') + "-01"}}));
    const trace_context sent = this->agents[0]->last_run().trace;
    EXPECT_EQ(sent.trace_id, trace_id);
    std::map<std::string, span_record> spans;
    for (int i = 0; i < 100 && spans.size() < 3; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
        const std::lock_guard lock{this->spans.mutex};
        for (const span_record& span : this->spans.finished_spans) {
            spans[span.name] = span;
        }
    }
    ASSERT_EQ(spans.size(), 3U);
    EXPECT_EQ(spans["entry.request"].parent_span_id, std::string(16, 'b'));
    EXPECT_EQ(spans["entry.reserve"].parent_span_id, spans["entry.request"].context.span_id);
    EXPECT_EQ(spans["entry.run"].context.span_id, sent.span_id);
}

// Guards against an entry that does not serve status, announce and pull messages.
TEST_F(forwarder_test, serves_peer_messages) {
    this->start_agents(1);
    inner::datagram_endpoint caller{{"127.0.0.1", 0}, "peer", this->time};
    caller.start(nullptr);
    const std::chrono::milliseconds timeout{3000};
    const auto status =
        inner::call_datagram<inner::status_response>(caller, this->inner_address, inner::status_request{}, timeout);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->role, "entry");
    EXPECT_EQ(status->configuration_version, 1U);
    EXPECT_TRUE(
        inner::call_datagram<inner::announce_response>(caller, this->inner_address, inner::announce{}, timeout));
    EXPECT_TRUE(inner::call_stream<inner::pull_response>(this->inner_address, "peer", inner::pull_request{}, timeout));
    const auto refused =
        inner::call_datagram<inner::cancel_response>(caller, this->inner_address, inner::cancel_request{}, timeout);
    EXPECT_EQ(refused.last_error().kind, error_kind::not_found);
    caller.stop();
}

/// The first run at the first agent fails as specified by the parameter, a `run_script`.
class broken_run_test : public entry_fixture, public testing::WithParamInterface<run_script> {};

// Guards against a wrong, partial or mixed response to an idempotent request whose first run fails.
TEST_P(broken_run_test, idempotent_request_is_retried_at_another_endpoint) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    const http_call plain = model(false);
    const call_result response = this->call(plain);
    EXPECT_EQ(response.status, 200) << response.body;
    EXPECT_EQ(response.body, "echo:" + plain.body);
}

// Guards against a stream with missing or repeated tokens after its first run failed.
TEST_P(broken_run_test, stream_is_resumed_at_another_endpoint) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    EXPECT_EQ(this->call(model(true)).body, complete_stream());
}

// Guards against a second run of a non-idempotent request, and against "not run" for a request that ran.
TEST_P(broken_run_test, non_idempotent_request_runs_at_most_once) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    const call_result response = this->call(desk("book a visit"));
    EXPECT_EQ(this->total_runs(), 1);
    if (GetParam() == run_script::refuse || GetParam() == run_script::drop_run) {
        EXPECT_EQ(response.status, 200) << response.body;
        EXPECT_EQ(response.body, "echo:book a visit");
    } else {
        EXPECT_EQ(response.kind(), "outcome_unknown") << response.body;
        EXPECT_FALSE(response.not_run());
    }
}

// Guards against a second run or a lost response for a retry with the same idempotency key after the first run failed.
TEST_P(broken_run_test, keyed_request_runs_at_most_once_over_retries) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    const http_call keyed = desk("book a visit", {{"Idempotency-Key", "k1"}});
    const call_result first = this->call(keyed);
    const call_result second = this->call(keyed);
    EXPECT_EQ(this->total_runs(), 1);
    EXPECT_EQ(first.status, second.status);
    EXPECT_EQ(first.body, second.body);
    EXPECT_FALSE(first.not_run());
    if (GetParam() == run_script::complete_then_break || GetParam() == run_script::refuse ||
        GetParam() == run_script::drop_run) {
        EXPECT_EQ(first.body, "echo:book a visit");
    } else {
        EXPECT_EQ(first.kind(), "outcome_unknown");
    }
}

INSTANTIATE_TEST_SUITE_P(scripts, broken_run_test,
                         testing::Values(run_script::refuse, run_script::drop_run, run_script::break_before_head,
                                         run_script::break_mid_response, run_script::skip_chunk,
                                         run_script::wrong_ticket, run_script::wrong_count, run_script::crash,
                                         run_script::endpoint_failure, run_script::complete_then_break));

// Guards against a resume request with the wrong token offset.
TEST_F(forwarder_test, resumes_after_the_tokens_that_were_sent) {
    this->start_agents(2);
    this->agents[0]->script({run_script::break_mid_response});
    EXPECT_EQ(this->call(model(true)).body, complete_stream());
    const auto resumed = nlohmann::json::parse(this->agents[1]->last_run().body);
    EXPECT_EQ(resumed["resume_from"], 4);
}

// Guards against a broken stream that looks like a normal end.
TEST_F(forwarder_test, broken_stream_ends_with_an_error_event) {
    this->start_agents(1);
    const std::vector<run_script> broken(10, run_script::break_before_head);
    std::vector<run_script> scripts{run_script::break_mid_response};
    scripts.insert(scripts.end(), broken.begin(), broken.end());
    this->agents[0]->script(scripts);
    const std::string body = this->call(model(true)).body;
    EXPECT_NE(body.find("event: error\n"), std::string::npos) << body;
    EXPECT_EQ(body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(body.find("finish_reason"), std::string::npos);
}

// Guards against a second run of a non-idempotent stream whose connection broke.
TEST_F(forwarder_test, non_idempotent_stream_is_not_resumed) {
    this->start_agents(2);
    this->agents[0]->script({run_script::break_mid_response});
    const std::string body = this->call(model(true, {{"X-Pomelohoist-Application", "once"}})).body;
    EXPECT_NE(body.find("outcome_unknown"), std::string::npos) << body;
    EXPECT_EQ(body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a run that continues after `deadline_exceeded` was sent to the caller, and against "not run" for
// that run.
TEST_F(forwarder_test, unresponsive_and_delayed_runs_end_at_the_deadline) {
    this->start_agents(1);
    for (const run_script script : {run_script::unresponsive, run_script::delayed_end}) {
        this->agents[0]->script({script});
        const call_result response = this->call(model(false, {{"X-Request-Deadline-Ms", "300"}}));
        EXPECT_EQ(response.kind(), "deadline_exceeded");
        EXPECT_FALSE(response.not_run());
        this->agents[0]->script({script});
        const call_result once = this->call(desk("x", {{"X-Request-Deadline-Ms", "300"}}));
        EXPECT_EQ(once.kind(), "outcome_unknown");
    }
    EXPECT_GE(this->agents[0]->aborts, 1);
}

// Guards against a request that crashes one agent after the other without a suspect report, and against a network fault
// that is reported as a crash.
TEST_F(forwarder_test, reports_suspects_only_of_lost_agents) {
    this->start_agents(3);
    this->agents[0]->script({run_script::break_mid_response});
    this->call(model(false));
    EXPECT_EQ(this->total_suspects(), 0);
    std::this_thread::sleep_for(config::failed_cooldown);
    this->agents[0]->script({run_script::crash});
    this->call(model(false));
    EXPECT_EQ(this->total_suspects(), 3);
}

// Guards against the quarantine of requests that were only queued at an agent when its host failed.
TEST_F(forwarder_test, queued_requests_are_not_reported_as_suspects) {
    this->start_agents(3);
    this->agents[0]->script({run_script::crash_while_queued});
    EXPECT_EQ(this->call(model(false)).status, 200);
    EXPECT_EQ(this->total_suspects(), 0);
    std::this_thread::sleep_for(config::failed_cooldown);
    this->agents[0]->script({run_script::crash_after_queue});
    EXPECT_EQ(this->call(model(false)).status, 200);
    EXPECT_EQ(this->total_suspects(), 3);
}

// Guards against a refusal while endpoints that were not queried are ready: the first round queries three of four
// agents.
TEST_F(forwarder_test, endpoints_that_are_not_ready_are_skipped) {
    this->start_agents(config::reserve_candidates + 1);
    for (std::size_t i = 0; i < config::reserve_candidates; ++i) {
        this->agents[i]->refuse_reserves(error_kind::not_ready);
    }
    for (int call = 0; call < 4; ++call) {
        EXPECT_EQ(this->call(model(false)).status, 200);
    }
    this->agents.back()->refuse_reserves(error_kind::not_ready);
    EXPECT_EQ(this->call(model(false)).kind(), "not_ready");
}

// Guards against an overload response without Retry-After or with a wrong `not_run`.
TEST_F(forwarder_test, overloaded_everywhere_is_429) {
    this->start_agents(2);
    for (auto& agent : this->agents) {
        agent->refuse_reserves(error_kind::overloaded);
    }
    const call_result response = this->call(desk("x"));
    EXPECT_EQ(response.status, 429);
    EXPECT_EQ(response.retry_after, "3");
    EXPECT_TRUE(response.not_run());
    EXPECT_EQ(this->agents[0]->reserves, 1);
}

// Guards against an entry with a stale configuration that refuses callers instead of pulling the newer one.
TEST_F(forwarder_test, pulls_newer_configuration_and_retries) {
    this->start_agents(1);
    this->platform.source->newest_configuration = this->declare(2);
    this->agents[0]->configuration_version = 2;
    EXPECT_EQ(this->call(model(false)).status, 200);
    EXPECT_EQ(this->platform.source->pulls, 1);
}

// Guards against refusals with the wrong error kind.
TEST_F(forwarder_test, reports_the_cause_when_no_endpoint_accepts) {
    this->start_agents(1);
    this->agents[0]->refuse_reserves(error_kind::draining);
    EXPECT_EQ(this->call(model(false)).kind(), "no_endpoint");
    this->agents[0]->refuse_reserves(error_kind::request_quarantined);
    EXPECT_EQ(this->call(model(false)).kind(), "request_quarantined");
    EXPECT_EQ(this->call(model(false, {{"Authorization", "Bearer other-key"}})).kind(), "forbidden");
    this->platform.source->leaving_host = "host-0";
    const call_result leaving = this->call(model(false));
    EXPECT_EQ(leaving.kind(), "no_endpoint");
    EXPECT_TRUE(leaving.not_run());
}

// Guards against an endpoint that continues a run after the caller disconnected.
TEST_F(forwarder_test, cancels_idempotent_runs_of_disconnected_callers) {
    this->start_agents(1);
    this->agents[0]->script({run_script::unresponsive});
    this->send(model(false)).reset();
    for (int i = 0; i < 100 && this->agents[0]->aborts == 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    EXPECT_EQ(this->agents[0]->aborts, 1);
}

// Guards against a stop that aborts a running request or accepts new ones.
TEST_F(forwarder_test, graceful_stop_finishes_running_requests) {
    this->start_agents(1);
    this->agents[0]->script({run_script::delayed_end});
    const http_call slow = model(false);
    const auto open = this->send(slow);
    while (this->total_runs() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    std::thread stopper{[this] { this->entry->stop(); }};
    while (this->call({"GET", "/readyz", "", {}}).status == 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const call_result refused = this->call(model(false));
    EXPECT_EQ(refused.kind(), "draining");
    EXPECT_TRUE(refused.not_run());
    Poco::Net::HTTPResponse response;
    std::istream& stream = open->receiveResponse(response);
    const std::string body{std::istreambuf_iterator<char>{stream}, {}};
    EXPECT_EQ(body, "echo:" + slow.body);
    stopper.join();
}

} // namespace
} // namespace pomelohoist
