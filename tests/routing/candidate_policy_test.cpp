#include "common/digest.h"
#include "common/random_source.h"
#include "routing/cooldown_list.h"

#include <pomelohoist/routing.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace pomelohoist {
namespace {

std::vector<routing_candidate> make_candidates(std::uint32_t number) {
    std::vector<routing_candidate> candidates;
    for (std::uint32_t i = 0; i < number; ++i) {
        candidates.push_back({endpoint_handle{i}, hash64("endpoint-" + std::to_string(i)), i, false});
    }
    return candidates;
}

class every_policy_test : public testing::TestWithParam<routing_policy> {};

// Guards against reserves sent twice to one endpoint, to too many endpoints, or to an endpoint in cooldown while others
// are available.
TEST_P(every_policy_test, picks_distinct_endpoints_that_are_not_in_cooldown) {
    seeded_random random{7};
    const auto policy = make_candidate_policy(GetParam(), random);
    for (std::uint32_t number = 0; number < 8; ++number) {
        auto candidates = make_candidates(number);
        if (number > 1) {
            candidates[1].in_cooldown = true;
        }
        const std::size_t eligible = number > 1 ? number - 1 : number;
        const auto picked = policy->pick({random.next(), 3}, candidates);
        std::set<std::uint32_t> distinct;
        for (const endpoint_handle handle : picked) {
            distinct.insert(handle.index);
        }
        EXPECT_EQ(distinct.size(), picked.size());
        EXPECT_EQ(picked.size(), std::min<std::size_t>(3, eligible));
        EXPECT_FALSE(number > 1 && distinct.contains(1));
    }
}

// Guards against refusing a request because all endpoints are in cooldown; cooldowns may be out of date.
TEST_P(every_policy_test, falls_back_to_endpoints_in_cooldown) {
    seeded_random random{7};
    auto candidates = make_candidates(2);
    candidates[0].in_cooldown = true;
    candidates[1].in_cooldown = true;
    EXPECT_EQ(make_candidate_policy(GetParam(), random)->pick({1, 3}, candidates).size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(all, every_policy_test,
                         testing::Values(routing_policy::affinity, routing_policy::random, routing_policy::round_robin,
                                         routing_policy::least_loaded, routing_policy::two_choices));

// Guards against a prefix that loses its cached endpoint when unrelated endpoints are added or removed.
TEST(candidate_policy_affinity_test, keeps_a_prefix_at_its_endpoint) {
    seeded_random random{11};
    const auto policy = make_candidate_policy(routing_policy::affinity, random);
    const auto candidates = make_candidates(16);
    std::set<std::uint32_t> preferred_endpoints;
    for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
        const endpoint_handle preferred = policy->pick({prefix, 3}, candidates).front();
        EXPECT_EQ(policy->pick({prefix, 3}, candidates).front(), preferred);
        auto fewer = candidates;
        std::erase_if(fewer, [&](const auto& entry) { return entry.handle.index == (preferred.index + 1) % 16; });
        EXPECT_EQ(policy->pick({prefix, 3}, fewer).front(), preferred);
        preferred_endpoints.insert(preferred.index);
    }
    EXPECT_EQ(preferred_endpoints.size(), 16U);
}

// Guards against a baseline that ignores the reported loads.
TEST(candidate_policy_baselines_test, least_loaded_picks_the_lowest_reported_load) {
    seeded_random random{3};
    const auto candidates = make_candidates(9);
    EXPECT_EQ(make_candidate_policy(routing_policy::least_loaded, random)->pick({0, 1}, candidates).front().index, 0U);
}

// Guards against a worse offer that wins because a later criterion is compared first.
TEST(offer_ranking_test, orders_by_first_token_then_cache_then_activity) {
    const std::vector<routing_offer> offers{{endpoint_handle{0}, 20, 900, 0},
                                            {endpoint_handle{1}, 10, 0, 5},
                                            {endpoint_handle{2}, 10, 50, 9},
                                            {endpoint_handle{3}, 10, 50, 1}};
    EXPECT_EQ(make_offer_ranking()->rank(offers), (std::vector<std::size_t>{3, 2, 1, 0}));
}

// Guards against an endpoint that stays in cooldown for ever.
TEST(cooldown_list_test, expire_and_clear) {
    manual_clock time;
    cooldown_list cooldowns{time};
    cooldowns.start_cooldown("a", std::chrono::milliseconds{100});
    cooldowns.start_cooldown("a", std::chrono::milliseconds{10});
    EXPECT_TRUE(cooldowns.in_cooldown("a"));
    time.advance(std::chrono::milliseconds{100});
    EXPECT_FALSE(cooldowns.in_cooldown("a"));
    cooldowns.start_cooldown("a", std::chrono::milliseconds{100});
    cooldowns.clear("a");
    EXPECT_FALSE(cooldowns.in_cooldown("a"));
}

} // namespace
} // namespace pomelohoist
