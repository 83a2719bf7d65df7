#include "entry_fixture.h"

namespace pomelohoist {
namespace {

class forwarder_test : public entry_fixture {};

// Guards against an answer that is changed on its way, and against lost request ids and trace contexts.
TEST_F(forwarder_test, passes_whole_answers) {
    this->start_agents(2);
    const http_call plain = model(false, {{"X-Request-Id", "id-7"}});
    const http_reply reply = this->call(plain);
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "echo:" + plain.body);
    EXPECT_EQ(reply.request_id, "id-7");
    EXPECT_FALSE(this->agents[0]->last_run().trace.trace_id.empty());
    EXPECT_EQ(this->call(model(true)).body, whole_stream());
}

// Guards against hops that cannot be joined to the caller's trace.
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

// Guards against an entry that its operators and peers cannot ask.
TEST_F(forwarder_test, answers_peers) {
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

/// One run that goes wrong.
class broken_run_test : public entry_fixture, public testing::WithParamInterface<run_script> {};

// Guards against a wrong, partial or mixed answer of an idempotent request when its first run goes wrong.
TEST_P(broken_run_test, idempotent_request_is_answered_elsewhere) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    const http_call plain = model(false);
    const http_reply reply = this->call(plain);
    EXPECT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(reply.body, "echo:" + plain.body);
}

// Guards against a stream with missing or repeated tokens after its run went wrong.
TEST_P(broken_run_test, stream_is_resumed_elsewhere) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    EXPECT_EQ(this->call(model(true)).body, whole_stream());
}

// Guards against a second run of a non-idempotent request, and against "not run" for one that ran.
TEST_P(broken_run_test, non_idempotent_request_runs_at_most_once) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    const http_reply reply = this->call(desk("book a visit"));
    EXPECT_EQ(this->total_runs(), 1);
    if (GetParam() == run_script::refuse || GetParam() == run_script::lose_run) {
        EXPECT_EQ(reply.status, 200) << reply.body;
        EXPECT_EQ(reply.body, "echo:book a visit");
    } else {
        EXPECT_EQ(reply.kind(), "outcome_unknown") << reply.body;
        EXPECT_FALSE(reply.not_run());
    }
}

// Guards against a second run or a lost answer under a key when the first run goes wrong.
TEST_P(broken_run_test, keyed_request_runs_at_most_once_over_resends) {
    this->start_agents(2);
    this->agents[0]->script({GetParam()});
    const http_call keyed = desk("book a visit", {{"Idempotency-Key", "k1"}});
    const http_reply first = this->call(keyed);
    const http_reply second = this->call(keyed);
    EXPECT_EQ(this->total_runs(), 1);
    EXPECT_EQ(first.status, second.status);
    EXPECT_EQ(first.body, second.body);
    EXPECT_FALSE(first.not_run());
    if (GetParam() == run_script::complete_then_break || GetParam() == run_script::refuse ||
        GetParam() == run_script::lose_run) {
        EXPECT_EQ(first.body, "echo:book a visit");
    } else {
        EXPECT_EQ(first.kind(), "outcome_unknown");
    }
}

INSTANTIATE_TEST_SUITE_P(scripts, broken_run_test,
                         testing::Values(run_script::refuse, run_script::lose_run, run_script::break_before_head,
                                         run_script::break_mid_answer, run_script::skip_chunk, run_script::wrong_ticket,
                                         run_script::wrong_count, run_script::crash, run_script::endpoint_failure,
                                         run_script::complete_then_break));

// Guards against a resume that asks for the wrong offset.
TEST_F(forwarder_test, resumes_after_the_tokens_that_were_sent) {
    this->start_agents(2);
    this->agents[0]->script({run_script::break_mid_answer});
    EXPECT_EQ(this->call(model(true)).body, whole_stream());
    const auto resumed = nlohmann::json::parse(this->agents[1]->last_run().body);
    EXPECT_EQ(resumed["resume_from"], 4);
}

// Guards against a broken stream that looks like a normal end.
TEST_F(forwarder_test, broken_stream_ends_with_an_error_event) {
    this->start_agents(1);
    const std::vector<run_script> broken(10, run_script::break_before_head);
    std::vector<run_script> scripts{run_script::break_mid_answer};
    scripts.insert(scripts.end(), broken.begin(), broken.end());
    this->agents[0]->script(scripts);
    const std::string body = this->call(model(true)).body;
    EXPECT_NE(body.find("event: error\n"), std::string::npos) << body;
    EXPECT_EQ(body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(body.find("finish_reason"), std::string::npos);
}

// Guards against a non-idempotent stream that is run again after a break.
TEST_F(forwarder_test, non_idempotent_stream_is_not_resumed) {
    this->start_agents(2);
    this->agents[0]->script({run_script::break_mid_answer});
    const std::string body = this->call(model(true, {{"X-Pomelohoist-Application", "once"}})).body;
    EXPECT_NE(body.find("outcome_unknown"), std::string::npos) << body;
    EXPECT_EQ(body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a request that runs on although its caller was told that the deadline has passed, and against a claim
// of "not run" for it.
TEST_F(forwarder_test, silent_and_late_runs_end_at_the_deadline) {
    this->start_agents(1);
    for (const run_script script : {run_script::silent, run_script::late_end}) {
        this->agents[0]->script({script});
        const http_reply reply = this->call(model(false, {{"X-Request-Deadline-Ms", "300"}}));
        EXPECT_EQ(reply.kind(), "deadline_exceeded");
        EXPECT_FALSE(reply.not_run());
        this->agents[0]->script({script});
        const http_reply once = this->call(desk("x", {{"X-Request-Deadline-Ms", "300"}}));
        EXPECT_EQ(once.kind(), "outcome_unknown");
    }
    EXPECT_GE(this->agents[0]->aborts, 1);
}

// Guards against a crashing request that wanders through all endpoints unreported, and against a network fault that is
// reported as a death.
TEST_F(forwarder_test, reports_suspects_only_of_lost_agents) {
    this->start_agents(3);
    this->agents[0]->script({run_script::break_mid_answer});
    this->call(model(false));
    EXPECT_EQ(this->total_suspects(), 0);
    std::this_thread::sleep_for(config::failed_cooldown);
    this->agents[0]->script({run_script::crash});
    this->call(model(false));
    EXPECT_EQ(this->total_suspects(), 3);
}

// Guards against harmless requests in quarantine because they only waited at agents whose hosts died.
TEST_F(forwarder_test, requests_that_waited_are_no_suspects) {
    this->start_agents(3);
    this->agents[0]->script({run_script::crash_while_queued});
    EXPECT_EQ(this->call(model(false)).status, 200);
    EXPECT_EQ(this->total_suspects(), 0);
    std::this_thread::sleep_for(config::failed_cooldown);
    this->agents[0]->script({run_script::crash_after_queue});
    EXPECT_EQ(this->call(model(false)).status, 200);
    EXPECT_EQ(this->total_suspects(), 3);
}

// Guards against a refusal while endpoints that were not asked are ready: three of four agents are asked at first.
TEST_F(forwarder_test, endpoints_that_are_not_ready_are_passed_over) {
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

// Guards against an overload answer without Retry-After or without the truth about the run.
TEST_F(forwarder_test, overloaded_everywhere_is_429) {
    this->start_agents(2);
    for (auto& agent : this->agents) {
        agent->refuse_reserves(error_kind::overloaded);
    }
    const http_reply reply = this->call(desk("x"));
    EXPECT_EQ(reply.status, 429);
    EXPECT_EQ(reply.retry_after, "3");
    EXPECT_TRUE(reply.not_run());
    EXPECT_EQ(this->agents[0]->reserves, 1);
}

// Guards against a stale entry that refuses its callers instead of taking the newer configuration.
TEST_F(forwarder_test, pulls_newer_configuration_and_tries_again) {
    this->start_agents(1);
    this->platform.source->newest = this->declare(2);
    this->agents[0]->configuration_version = 2;
    EXPECT_EQ(this->call(model(false)).status, 200);
    EXPECT_EQ(this->platform.source->pulls, 1);
}

// Guards against refusals that name the wrong cause.
TEST_F(forwarder_test, names_the_cause_when_nobody_accepts) {
    this->start_agents(1);
    this->agents[0]->refuse_reserves(error_kind::draining);
    EXPECT_EQ(this->call(model(false)).kind(), "no_endpoint");
    this->agents[0]->refuse_reserves(error_kind::request_quarantined);
    EXPECT_EQ(this->call(model(false)).kind(), "request_quarantined");
    EXPECT_EQ(this->call(model(false, {{"Authorization", "Bearer other-key"}})).kind(), "forbidden");
    this->platform.source->leaving = "host-0";
    const http_reply leaving = this->call(model(false));
    EXPECT_EQ(leaving.kind(), "no_endpoint");
    EXPECT_TRUE(leaving.not_run());
}

// Guards against an endpoint that works for a caller who is gone.
TEST_F(forwarder_test, cancels_idempotent_runs_of_callers_that_are_gone) {
    this->start_agents(1);
    this->agents[0]->script({run_script::silent});
    this->send(model(false)).reset();
    for (int i = 0; i < 100 && this->agents[0]->aborts == 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    EXPECT_EQ(this->agents[0]->aborts, 1);
}

// Guards against a stop that cuts off a request, or that takes new ones.
TEST_F(forwarder_test, graceful_stop_finishes_what_runs) {
    this->start_agents(1);
    this->agents[0]->script({run_script::late_end});
    const http_call slow = model(false);
    const auto open = this->send(slow);
    while (this->total_runs() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    std::thread stopper{[this] { this->served->stop(); }};
    while (this->call({"GET", "/readyz", "", {}}).status == 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const http_reply refused = this->call(model(false));
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
