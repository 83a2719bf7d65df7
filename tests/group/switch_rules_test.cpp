#include "group/group_simulation.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

namespace pomelohoist::test_group {
namespace {

using namespace std::chrono_literals;

constexpr map_start first_map{{1, 1}, 0};
constexpr map_start next_map{{2, 2}, 5};
constexpr switch_ballot coordinator_ballot{3, 1, 0, 7};
const inner::switch_prepare prepare{"g", coordinator_ballot, first_map.map, next_map};

/// The participant of rank 1 of three, with helpers that act as the other ranks.
class switch_rules : public testing::Test {
  protected:
    switch_rules() : participant({"g", 1, 3, 9}, this->time, this->gate, this->contents) {}

    /// Recovers the agent on the first map, with a rank that has started all steps below `next`.
    void recover_at_step(std::uint64_t next = 3) {
        this->participant.report({next - 1, first_map});
        this->participant.set_ballots({{}, {}});
        this->recover(first_map);
        EXPECT_EQ(this->participant.grant_step({next - 1, first_map}), first_map);
    }

    void recover(const std::optional<map_start>& peer_map) {
        const auto query = this->participant.open_recovery();
        ASSERT_TRUE(query);
        EXPECT_TRUE(
            this->participant.close_recovery(query->ballot, this->peer_states(query->ballot, peer_map, peer_map), {}));
    }

    static std::vector<inner::switch_state> peer_states(const switch_ballot& ballot,
                                                        const std::optional<map_start>& first,
                                                        const std::optional<map_start>& second) {
        return {{0, true, ballot, ballot, first}, {2, true, ballot, ballot, second}};
    }

    manual_clock time;
    fencing_gate gate;
    all_but_one_usable contents;
    switch_participant participant;
};

// Guards against a step that starts on the old map while other ranks may have the commit of the switch.
TEST_F(switch_rules, open_promise_holds_the_step_of_the_switch) {
    this->recover_at_step();
    EXPECT_TRUE(this->participant.handle_prepare(prepare).promised);
    EXPECT_EQ(this->participant.grant_step({3, first_map}), first_map);
    EXPECT_EQ(this->participant.grant_step({4, first_map}), first_map);
    EXPECT_FALSE(this->participant.grant_step({5, first_map}));
    this->participant.handle_decision({"g", coordinator_ballot, true, next_map});
    EXPECT_EQ(this->participant.grant_step({5, first_map}), next_map);
}

// Guards against a commit that takes effect before its step, and against a retried request that gets a different map.
TEST_F(switch_rules, steps_before_a_committed_switch_use_the_old_map) {
    this->recover_at_step();
    ASSERT_TRUE(this->participant.handle_prepare(prepare).promised);
    this->participant.handle_decision({"g", coordinator_ballot, true, next_map});
    EXPECT_EQ(this->participant.grant_step({3, first_map}), first_map);
    EXPECT_EQ(this->participant.grant_step({3, first_map}), first_map);
    EXPECT_EQ(this->participant.grant_step({4, first_map}), first_map);
    EXPECT_FALSE(this->participant.grant_step({7, first_map}));
}

// Guards against a promise for a step that the rank has started, for a switch from a map that is not in force, for a
// map whose weights are missing, or for an epoch lower than the epoch of another coordinator.
TEST_F(switch_rules, prepare_is_refused) {
    this->recover_at_step(6);
    EXPECT_FALSE(this->participant.handle_prepare(prepare).promised) << "started";
    inner::switch_prepare later = prepare;
    later.ballot.round = 2;
    later.next.from_step = 9;
    later.base = {1, 77};
    EXPECT_FALSE(this->participant.handle_prepare(later).promised) << "another base";
    later.ballot.round = 3;
    later.base = first_map.map;
    this->contents.missing_digest = later.next.map.digest;
    EXPECT_FALSE(this->participant.handle_prepare(later).promised) << "no weights";
    later.ballot.round = 4;
    this->contents.missing_digest = 0;
    EXPECT_TRUE(this->gate.admit(later.ballot.epoch + 1));
    EXPECT_FALSE(this->participant.handle_prepare(later).promised) << "old epoch";
    later.ballot.epoch += 1;
    EXPECT_TRUE(this->participant.handle_prepare(later).promised);
}

// Guards against a late copy of a prepare message that gets a promise after the coordinator has counted a refusal.
TEST_F(switch_rules, refusal_is_final) {
    this->recover_at_step();
    this->contents.missing_digest = next_map.map.digest;
    EXPECT_FALSE(this->participant.handle_prepare(prepare).promised);
    this->contents.missing_digest = 0;
    EXPECT_FALSE(this->participant.handle_prepare(prepare).promised);
}

// Guards against promises for two undecided switches, against a late copy of a prepare message that reopens a promise,
// and against an abort of one switch that ends the promise for another.
TEST_F(switch_rules, one_switch_at_a_time) {
    this->recover_at_step();
    ASSERT_TRUE(this->participant.handle_prepare(prepare).promised);
    EXPECT_TRUE(this->participant.handle_prepare(prepare).promised)
        << "a retransmitted prepare message gets the same vote";
    inner::switch_prepare second = prepare;
    second.ballot.epoch += 1;
    second.next = {{2, 3}, 8};
    EXPECT_FALSE(this->participant.handle_prepare(second).promised);
    // The abort by the other coordinator does not decide the promised switch.
    this->participant.handle_decision({"g", second.ballot, true, first_map});
    EXPECT_TRUE(this->participant.has_open_promise());
}

// Guards against decisions of a coordinator that was paused until its lease expired.
TEST_F(switch_rules, decision_of_an_old_epoch_or_a_lower_ballot_is_ignored) {
    this->recover_at_step();
    ASSERT_TRUE(this->participant.handle_prepare(prepare).promised);
    const switch_ballot higher{3, 2, 2, 5};
    EXPECT_TRUE(this->participant.handle_query({"g", higher, false}).has_responded);
    this->participant.handle_decision({"g", coordinator_ballot, true, next_map});
    EXPECT_TRUE(this->participant.has_open_promise()) << "the ballot of the recovery is higher";
    this->participant.handle_decision({"g", higher, false, first_map});
    EXPECT_FALSE(this->participant.has_open_promise());
    EXPECT_EQ(this->participant.in_force(), first_map);
}

// Guards against a promise for a late prepare message of a switch whose abort has already arrived.
TEST_F(switch_rules, late_prepare_after_its_abort_is_refused) {
    this->recover_at_step();
    this->participant.handle_decision({"g", coordinator_ballot, true, first_map});
    EXPECT_FALSE(this->participant.handle_prepare(prepare).promised);
}

// Guards against a restarted agent that responds, votes or grants steps before it has recovered.
TEST_F(switch_rules, restarted_agent_does_not_respond_before_it_has_read_all_ballots) {
    const switch_ballot seen{3, 4, 2, 5};
    EXPECT_FALSE(this->participant.needs_ballots()) << "the rank has not reported";
    EXPECT_FALSE(this->participant.grant_step({3, first_map}));
    EXPECT_TRUE(this->participant.needs_ballots());
    EXPECT_TRUE(this->participant.handle_prepare(prepare).ignored);
    EXPECT_FALSE(this->participant.handle_query({"g", seen, false}).has_responded);
    EXPECT_FALSE(this->participant.open_recovery());
    this->participant.set_ballots({seen});
    EXPECT_TRUE(this->participant.needs_ballots()) << "only one of two ballots was read";
    this->participant.set_ballots({seen, {}});
    EXPECT_FALSE(this->participant.handle_query({"g", seen, false}).has_responded)
        << "the agent has read this ballot but not responded to it";
    this->participant.handle_decision({"g", seen, false, next_map});
    EXPECT_TRUE(this->participant.is_recovering()) << "the agent did not respond to this ballot";
    const switch_ballot higher{3, 5, 2, 5};
    EXPECT_TRUE(this->participant.handle_query({"g", higher, false}).has_responded);
    this->participant.handle_decision({"g", higher, false, next_map});
    EXPECT_FALSE(this->participant.is_recovering());
    EXPECT_EQ(this->participant.grant_step({3, first_map}), first_map);
}

// Guards against an agent that responds before its own rank has reported its map: the response would lack that map.
TEST_F(switch_rules, restarted_agent_does_not_respond_before_its_rank_has_reported) {
    const switch_ballot ballot{3, 4, 2, 5};
    this->participant.set_ballots({{}, {}});
    EXPECT_FALSE(this->participant.handle_query({"g", ballot, false}).has_responded);
    EXPECT_FALSE(this->participant.open_recovery());
    this->participant.report({6, next_map});
    EXPECT_EQ(this->participant.handle_query({"g", ballot, false}).committed_map, next_map);
}

// Guards against a recovery that aborts a switch that one rank reports as committed, or that decides without the
// response of a rank, and against a coordinator that decides although a recovery has used a higher ballot.
TEST_F(switch_rules, recovery_commits_a_switch_that_one_rank_reports_as_committed) {
    this->recover_at_step();
    ASSERT_TRUE(this->participant.handle_prepare(prepare).promised);
    const auto query = this->participant.open_recovery();
    ASSERT_TRUE(query);
    EXPECT_GT(query->ballot, coordinator_ballot);
    auto responses = peer_states(query->ballot, first_map, next_map);
    EXPECT_FALSE(this->participant.close_recovery(query->ballot, {responses.front()}, {})) << "a rank is missing";
    EXPECT_FALSE(this->participant.close_recovery(query->ballot, {responses[0], responses[0]}, {})) << "the same rank";
    const auto decision = this->participant.close_recovery(query->ballot, responses, {});
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->in_force, next_map);
    EXPECT_FALSE(this->participant.close_switch(coordinator_ballot, false));
}

TEST_F(switch_rules, recovery_does_not_decide_after_a_higher_ballot) {
    this->recover_at_step();
    ASSERT_TRUE(this->participant.handle_prepare(prepare).promised);
    const auto query = this->participant.open_recovery();
    ASSERT_TRUE(query);
    const switch_ballot higher{query->ballot.epoch, query->ballot.round + 1, 0, 4};
    EXPECT_TRUE(this->participant.handle_query({"g", higher, false}).has_responded);
    EXPECT_FALSE(this->participant.close_recovery(query->ballot, peer_states(query->ballot, first_map, first_map), {}));
    EXPECT_TRUE(this->participant.has_open_promise());
}

// Guards against a cold start that decides on a map while the store is down, or that ignores the map that a rank runs.
TEST_F(switch_rules, cold_start_uses_the_stored_map_only_when_no_rank_has_one) {
    this->participant.report({0, std::nullopt});
    this->participant.set_ballots({{}, {}});
    const auto query = this->participant.open_recovery();
    ASSERT_TRUE(query);
    const auto no_maps = peer_states(query->ballot, std::nullopt, std::nullopt);
    EXPECT_FALSE(this->participant.close_recovery(query->ballot, no_maps, std::nullopt));
    const map_start stored{{6, 6}, 0};
    const auto one_map = peer_states(query->ballot, std::nullopt, first_map);
    EXPECT_EQ(this->participant.close_recovery(query->ballot, one_map, stored)->in_force, first_map);
}

// Guards against a coordinator that commits after its own agent has responded to the query of a recovery.
TEST_F(switch_rules, coordinator_commits_only_under_its_own_ballot) {
    this->recover_at_step();
    const auto opened = this->participant.open_switch(3, next_map);
    ASSERT_TRUE(opened);
    EXPECT_TRUE(this->participant.handle_query({"g", {3, 9, 2, 5}, false}).has_responded);
    EXPECT_FALSE(this->participant.close_switch(opened->ballot, true));
    EXPECT_TRUE(this->participant.has_open_promise());
    EXPECT_FALSE(this->participant.open_switch(2, next_map)) << "an epoch below the highest seen";
}

// Guards against an immediate recovery, which would take over every switch, and against a recovery that never starts.
TEST_F(switch_rules, recovery_starts_after_the_limit) {
    this->recover_at_step();
    ASSERT_TRUE(this->participant.handle_prepare(prepare).promised);
    EXPECT_FALSE(this->participant.needs_recovery(config::open_promise_limit));
    this->time.advance(config::open_promise_limit);
    EXPECT_TRUE(this->participant.needs_recovery(config::open_promise_limit));
}

} // namespace
} // namespace pomelohoist::test_group
