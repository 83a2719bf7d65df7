#include <pomelohoist/expert_balance.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

using namespace pomelohoist;

namespace {

expert_shape random_shape() {
    const auto ranks = *rc::gen::inRange<std::uint32_t>(1, 9);
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 7);
    const auto experts = *rc::gen::inRange<std::uint32_t>(1, ranks * slots + 1);
    return {ranks, experts, *rc::gen::inRange<std::uint32_t>(1, 4), slots};
}

} // namespace

// Guards against a first map that loses an expert, or that puts two copies on one rank, for unusual sizes.
RC_GTEST_PROP(expert_map, first_map_is_valid_for_every_shape, ()) {
    const expert_shape shape = random_shape();
    const expert_map first{shape};
    const auto checked = expert_map::make(shape, 1, {first.slots().begin(), first.slots().end()});
    RC_ASSERT(checked.has_value());
    RC_ASSERT(*checked == first);
}

// Guards against load that is lost or counted twice when replicas share it.
RC_GTEST_PROP(expert_map, rank_loads_keep_the_total, ()) {
    const expert_shape shape = random_shape();
    std::vector<double> tokens(shape.cells());
    for (double& each : tokens) {
        each = *rc::gen::inRange(0, 1000);
    }
    const std::vector<double> loads = rank_loads(expert_map{shape}, tokens);
    const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    RC_ASSERT(std::abs(std::accumulate(loads.begin(), loads.end(), 0.0) - total) <= 1e-9 * (1.0 + total));
}

// Guards against a plan that leaves an expert on no rank, which would make responses wrong.
TEST(expert_map, refuses_moves_that_lose_or_double_an_expert) {
    const expert_map map{{2, 4, 1, 2}};
    EXPECT_FALSE(map.with_moves(std::vector<expert_move>{{0, 0, 0, 2}}).has_value());
    EXPECT_FALSE(map.with_moves(std::vector<expert_move>{{0, 0, 0, 1}}).has_value());
    EXPECT_FALSE(map.with_moves(std::vector<expert_move>{{0, 0, 0, 4}}).has_value());
    EXPECT_FALSE(map.with_moves(std::vector<expert_move>{{0, 0, 2, 1}}).has_value());
    EXPECT_FALSE(map.with_moves(std::vector<expert_move>{{0, 0, 0, no_expert}}).has_value());
}

// Guards against counting a copy for an expert that the rank already held, and against copies that are not counted.
TEST(expert_map, counts_copies_by_rank_and_not_by_slot) {
    const expert_map map{{2, 4, 1, 2}};
    const auto reordered = map.with_moves(std::vector<expert_move>{{0, 0, 0, 1}, {0, 0, 1, 0}});
    const auto swapped = map.with_moves(std::vector<expert_move>{{0, 0, 0, 2}, {0, 1, 0, 0}});
    ASSERT_TRUE(reordered.has_value());
    ASSERT_TRUE(swapped.has_value());
    EXPECT_EQ(count_copies(map, *reordered), 0U);
    EXPECT_EQ(count_copies(map, *swapped), 2U);
    EXPECT_EQ(swapped->version(), map.version() + 1);
    EXPECT_NE(*swapped, map);
}
