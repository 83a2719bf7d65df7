#include "group/scripted_network.h"

#include "group/map_record.h"
#include "platform/memory_table.h"

#include <gtest/gtest.h>

namespace pomelohoist::test_group {
namespace {

constexpr std::uint32_t ranks = 4;
constexpr std::uint64_t epoch = 1;
constexpr map_start first_map{{1, 1}, 0};
constexpr map_start next_map{{2, 2}, 3};

class switch_coordinator_test : public testing::Test {
  protected:
    result<done> run_switch(std::uint32_t rank = 0, std::uint64_t lease_epoch = epoch) {
        const auto network = this->group.network_of(rank);
        return switch_coordinator{this->group.position(rank), this->group.participant(rank), *network}.run(lease_epoch,
                                                                                                           next_map);
    }

    bool recover(std::uint32_t rank) {
        const auto network = this->group.network_of(rank);
        const auto query = this->group.participant(rank).open_recovery();
        if (!query) {
            return false;
        }
        const auto states = query_others<inner::switch_state>(*network, *query, {});
        const auto decision = this->group.participant(rank).close_recovery(query->ballot, states, {});
        return decision && !query_others<inner::switch_state>(*network, *decision, {}).empty();
    }

    void expect_map_at_all_ranks(const map_start& map) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            EXPECT_EQ(this->group.participant(rank).in_force(), map) << rank;
            EXPECT_FALSE(this->group.participant(rank).has_open_promise()) << rank;
        }
    }

    scripted_group group{ranks};
};

TEST_F(switch_coordinator_test, commits_when_all_promise) {
    expect_map_at_all_ranks(first_map);
    EXPECT_TRUE(this->run_switch());
    expect_map_at_all_ranks(next_map);
}

// Guards against a commit without the promise of a rank whose prepare message or vote was lost.
TEST_F(switch_coordinator_test, aborts_when_a_rank_does_not_respond) {
    this->group.unreachable = {2};
    EXPECT_FALSE(this->run_switch());
    this->group.unreachable.clear();
    expect_map_at_all_ranks(first_map);
    this->group.losing_responses = {3};
    EXPECT_FALSE(this->run_switch());
    this->group.losing_responses.clear();
    expect_map_at_all_ranks(first_map);
    EXPECT_TRUE(this->run_switch());
}

// Guards against a rank that never receives the decision: a recovery has to find the decision without the
// coordinator.
TEST_F(switch_coordinator_test, lost_decision_is_recovered) {
    int calls = 0;
    // The prepare message reaches all ranks, the decision reaches none.
    this->group.on_call = [this, &calls](std::uint32_t /*rank*/) {
        if (++calls == static_cast<int>(ranks)) {
            this->group.unreachable = {1, 2, 3};
        }
    };
    EXPECT_TRUE(this->run_switch());
    this->group.on_call = nullptr;
    this->group.unreachable.clear();
    EXPECT_TRUE(this->group.participant(2).has_open_promise());
    EXPECT_TRUE(this->recover(2));
    expect_map_at_all_ranks(next_map);
}

// Guards against a rank whose map changes when late copies of messages of earlier switches arrive.
TEST_F(switch_coordinator_test, replayed_messages_change_nothing) {
    this->group.unreachable = {1};
    EXPECT_FALSE(this->run_switch());
    this->group.unreachable.clear();
    EXPECT_TRUE(this->run_switch());
    const std::vector<inner::packet> copies = this->group.delivered;
    for (const inner::packet& copy : copies) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            this->group.serve(rank, copy);
        }
    }
    expect_map_at_all_ranks(next_map);
}

// Guards against a lease holder that was paused between the votes and its decision until its lease expired, and against
// its later messages.
TEST_F(switch_coordinator_test, paused_holder_does_not_decide_after_its_successor) {
    int calls = 0;
    this->group.on_call = [this, &calls](std::uint32_t /*rank*/) {
        // The successor concludes the switch before the last rank receives the prepare message.
        if (++calls == static_cast<int>(ranks) - 1) {
            this->group.on_call = nullptr;
            EXPECT_TRUE(this->recover(1));
        }
    };
    EXPECT_FALSE(this->run_switch());
    expect_map_at_all_ranks(first_map);
    EXPECT_TRUE(this->run_switch(1, epoch + 1));
    EXPECT_FALSE(this->run_switch(0, epoch));
    expect_map_at_all_ranks(next_map);
}

// Guards against a map row that is overwritten by an earlier lease holder or with an older map.
TEST(map_record_test, keeps_the_newest_map_of_the_highest_epoch) {
    memory_table table;
    const expert_shape shape{2, 4, 1, 3};
    map_record record{table, "g", shape};
    const expert_map first{shape};
    const expert_map second = *first.with_moves({});
    const expert_map third = *second.with_moves({});
    EXPECT_EQ(*record.read(), first);
    EXPECT_TRUE(record.write(second, 4));
    EXPECT_EQ(*record.read(), second);
    EXPECT_FALSE(record.write(third, 3));
    EXPECT_TRUE(record.write(first, 5));
    EXPECT_EQ(*record.read(), second);
    table.faults().set_down(true);
    EXPECT_FALSE(record.read());
}

} // namespace
} // namespace pomelohoist::test_group
