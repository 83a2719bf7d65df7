#include "entry_fixture.h"

namespace pomelohoist {
namespace {

class claimed_forwarder_test : public entry_fixture {
  protected:
    static http_call keyed(const std::string& body = "order") { return desk(body, {{"Idempotency-Key", "k"}}); }
};

// Guards against a second run for a retry under the same key, and against a different response to it.
TEST_F(claimed_forwarder_test, retry_gets_the_stored_response) {
    this->start_agents(2);
    const call_result first = this->call(keyed());
    EXPECT_EQ(first.body, "echo:order");
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    EXPECT_EQ(this->total_runs(), 1);
    EXPECT_EQ(this->platform.claims->rows.begin()->second.content.state, claim_state::completed);
}

// Guards against a second run for a retry whose response was not stored in the claim: the agent still has the
// response.
TEST_F(claimed_forwarder_test, retry_gets_the_response_stored_by_the_agent) {
    this->start_agents(2);
    this->platform.claims->loses_completions = true;
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    this->platform.claims->loses_completions = false;
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    EXPECT_EQ(this->total_runs(), 1);
    EXPECT_EQ(this->platform.claims->rows.begin()->second.content.state, claim_state::completed);
}

// Guards against one key used for two different requests.
TEST_F(claimed_forwarder_test, different_request_under_the_same_key_conflicts) {
    this->start_agents(1);
    this->call(keyed("order"));
    const call_result conflicting = this->call(keyed("another order"));
    EXPECT_EQ(conflicting.status, 422);
    EXPECT_EQ(conflicting.kind(), "idempotency_conflict");
    http_call other_method = keyed("order");
    other_method.method = "DELETE";
    EXPECT_EQ(this->call(other_method).kind(), "idempotency_conflict");
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a run without a claim.
TEST_F(claimed_forwarder_test, nothing_runs_while_the_store_is_down) {
    this->start_agents(1);
    this->platform.claims->down = true;
    const call_result response = this->call(keyed());
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.kind(), "store_unavailable");
    EXPECT_EQ(response.retry_after, "2");
    EXPECT_EQ(this->total_runs(), 0);
}

// Guards against "not run" for a retry whose first attempt ran, when the claim cannot be read.
TEST_F(claimed_forwarder_test, retry_during_a_store_outage_is_not_reported_as_not_run) {
    this->start_agents(1);
    EXPECT_EQ(this->call(keyed()).status, 200);
    this->platform.claims->down = true;
    const call_result retry = this->call(keyed());
    EXPECT_EQ(retry.kind(), "store_unavailable");
    EXPECT_FALSE(retry.not_run());
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a second run for a retry while the first run is in progress.
TEST_F(claimed_forwarder_test, retry_during_the_run_is_in_progress) {
    this->start_agents(2);
    this->agents[0]->script({run_script::unresponsive});
    const auto first = this->send(keyed());
    while (this->total_runs() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const call_result second = this->call(keyed());
    EXPECT_EQ(second.status, 409);
    EXPECT_EQ(second.kind(), "in_progress");
    EXPECT_FALSE(second.not_run());
    EXPECT_EQ(second.retry_after, "1");
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a claim that blocks its key for ever because its entry crashed before the run.
TEST_F(claimed_forwarder_test, takes_over_a_claim_that_was_not_run) {
    this->start_agents(2);
    EXPECT_EQ(this->call(keyed()).status, 200);
    claim_record& row = this->platform.claims->rows.begin()->second;
    // Reserves a ticket that the agent grants but that is never run.
    inner::datagram_endpoint caller{{"127.0.0.1", 0}, "entry-2", this->time};
    caller.start(nullptr);
    inner::reserve_request request;
    request.configuration_version = 1;
    const auto granted = inner::call_datagram<inner::reserve_response>(caller, this->agents[1]->address(), request,
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

// Guards against "not run" for a retry whose first attempt may have run, when no endpoint accepts the retry.
TEST_F(claimed_forwarder_test, refused_retry_gets_the_outcome_of_the_first_attempt) {
    this->start_agents(1);
    EXPECT_EQ(this->call(keyed()).status, 200);
    this->agents[0]->refuse_reserves(error_kind::overloaded);
    EXPECT_EQ(this->call(keyed()).body, "echo:order");
    claim_record& row = this->platform.claims->rows.begin()->second;
    row.content.state = claim_state::claimed;
    row.content.response.reset();
    row.content.granted.incarnation = 1;
    const call_result unknown = this->call(keyed());
    EXPECT_EQ(unknown.kind(), "outcome_unknown");
    EXPECT_FALSE(unknown.not_run());
    EXPECT_EQ(this->total_runs(), 1);
}

// Guards against a second run when the agent of the first attempt cannot be queried.
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
