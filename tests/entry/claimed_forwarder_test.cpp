#include "entry_fixture.h"

namespace pomelohoist {
namespace {

class claimed_forwarder_test : public entry_fixture {
  protected:
    static http_call keyed(const std::string& body = "order") { return desk(body, {{"Idempotency-Key", "k"}}); }
};

// Guards against a second run, or another answer, for a resend.
TEST_F(claimed_forwarder_test, resend_gets_the_stored_answer) {
    this->start_agents(2);
    const http_reply first = this->call(keyed());
    EXPECT_EQ(first.body, "echo:order");
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    EXPECT_EQ(this->total_runs(), 1);
    EXPECT_EQ(this->platform.claims->rows.begin()->second.content.state, claim_state::completed);
}

// Guards against a resend that is run again because the store lost the answer; the agent still has it.
TEST_F(claimed_forwarder_test, resend_gets_the_answer_that_the_agent_keeps) {
    this->start_agents(2);
    this->platform.claims->loses_completions = true;
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    this->platform.claims->loses_completions = false;
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    EXPECT_EQ(this->total_runs(), 1);
    EXPECT_EQ(this->platform.claims->rows.begin()->second.content.state, claim_state::completed);
}

// Guards against one key that answers two different requests.
TEST_F(claimed_forwarder_test, other_request_under_the_key_conflicts) {
    this->start_agents(1);
    this->call(keyed("order"));
    const http_reply other = this->call(keyed("another order"));
    EXPECT_EQ(other.status, 422);
    EXPECT_EQ(other.kind(), "idempotency_conflict");
    http_call other_method = keyed("order");
    other_method.method = "DELETE";
    EXPECT_EQ(this->call(other_method).kind(), "idempotency_conflict");
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a run without a claim.
TEST_F(claimed_forwarder_test, nothing_runs_while_the_store_is_down) {
    this->start_agents(1);
    this->platform.claims->down = true;
    const http_reply reply = this->call(keyed());
    EXPECT_EQ(reply.status, 503);
    EXPECT_EQ(reply.kind(), "store_unavailable");
    EXPECT_EQ(reply.retry_after, "2");
    EXPECT_EQ(this->total_runs(), 0);
}

// Guards against "not run" for a resend whose first send ran, when the claim cannot be read.
TEST_F(claimed_forwarder_test, resend_during_an_outage_does_not_say_not_run) {
    this->start_agents(1);
    EXPECT_EQ(this->call(keyed()).status, 200);
    this->platform.claims->down = true;
    const http_reply resend = this->call(keyed());
    EXPECT_EQ(resend.kind(), "store_unavailable");
    EXPECT_FALSE(resend.not_run());
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a second run beside the first one.
TEST_F(claimed_forwarder_test, resend_during_the_run_is_in_progress) {
    this->start_agents(2);
    this->agents[0]->script({run_script::silent});
    const auto first = this->send(keyed());
    while (this->total_runs() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const http_reply second = this->call(keyed());
    EXPECT_EQ(second.status, 409);
    EXPECT_EQ(second.kind(), "in_progress");
    EXPECT_FALSE(second.not_run());
    EXPECT_EQ(second.retry_after, "1");
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a claim whose entry died before the run and that blocks its key for ever.
TEST_F(claimed_forwarder_test, takes_over_a_claim_that_was_not_run) {
    this->start_agents(2);
    EXPECT_EQ(this->call(keyed()).status, 200);
    claim_record& row = this->platform.claims->rows.begin()->second;
    // A ticket that the agent gave and that was never run.
    inner::datagram_endpoint caller{{"127.0.0.1", 0}, "entry-2", this->time};
    caller.start(nullptr);
    inner::reserve_request wanted;
    wanted.configuration_version = 1;
    const auto granted = inner::call_datagram<inner::reserve_response>(caller, this->agents[1]->address(), wanted,
                                                                       std::chrono::milliseconds{3000});
    ASSERT_TRUE(granted && granted->accepted);
    row.content.state = claim_state::claimed;
    row.content.response.reset();
    row.content.attempt = "entry-2";
    row.content.agent = this->agents[1]->address();
    row.content.granted = granted->accepted->granted;
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    EXPECT_EQ(this->total_runs(), 2);
    EXPECT_NE(row.content.attempt, "entry-2");
    EXPECT_EQ(row.content.state, claim_state::completed);
    caller.stop();
}

// Guards against "not run" for a resend whose first attempt may have run, when no endpoint accepts the resend.
TEST_F(claimed_forwarder_test, refused_resend_learns_the_outcome_of_the_first_attempt) {
    this->start_agents(1);
    EXPECT_EQ(this->call(keyed()).status, 200);
    this->agents[0]->refuse_reserves(error_kind::overloaded);
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    claim_record& row = this->platform.claims->rows.begin()->second;
    row.content.state = claim_state::claimed;
    row.content.response.reset();
    row.content.granted.incarnation = 1;
    const http_reply unknown = this->call(keyed());
    EXPECT_EQ(unknown.kind(), "outcome_unknown");
    EXPECT_FALSE(unknown.not_run());
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a run under a claim of an agent that cannot be asked.
TEST_F(claimed_forwarder_test, unreachable_agent_leaves_the_outcome_unknown) {
    this->start_agents(1);
    EXPECT_EQ(this->call(keyed()).status, 200);
    claim_record& row = this->platform.claims->rows.begin()->second;
    row.content.state = claim_state::claimed;
    row.content.response.reset();
    {
        const inner::stream_listener closed{{"127.0.0.1", 0}};
        row.content.agent = closed.local_address();
    }
    EXPECT_EQ(this->call(keyed()).kind(), "outcome_unknown");
    EXPECT_EQ(this->total_runs(), 1);
}

} // namespace
} // namespace pomelohoist
