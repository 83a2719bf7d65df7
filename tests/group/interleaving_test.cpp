#include "group/group_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <random>

namespace pomelohoist::test_group {
namespace {

constexpr std::uint32_t events_between_recoveries = 100;

struct run_totals {
    std::uint64_t commits{0};
    std::uint64_t restarts{0};
};

/// Runs random events and recovers the group at intervals.
/// @returns totals of the run, or nothing when two ranks ran a step with different maps or the ranks stopped their
/// steps
std::optional<run_totals> run_events(std::uint32_t ranks, std::uint64_t seed, std::uint32_t events) {
    std::mt19937_64 random{seed};
    group_simulation group{ranks};
    for (std::uint32_t i = 0; i < events; ++i) {
        // Two thirds of the events use one of the two latest messages, the others any message.
        const auto age = static_cast<std::uint32_t>(random() % 3 == 0 ? random() : random() % 2);
        group.run_event(static_cast<std::uint32_t>(random()), static_cast<std::uint32_t>(random()), age);
        // Recovers the group at intervals, so that later switches receive messages of the earlier switches.
        if (i % events_between_recoveries == events_between_recoveries - 1 && !group.run_without_faults(2)) {
            return std::nullopt;
        }
    }
    if (!group.run_without_faults(5) || group.step_with_two_maps()) {
        return std::nullopt;
    }
    return run_totals{group.commits(), group.restarts()};
}

// Guards against interleavings of late, retransmitted and lost messages, restarts, recoveries and two concurrent
// coordinators after which two ranks run one step with different maps, or the group makes no more steps.
RC_GTEST_PROP(interleaving_test, every_step_has_one_map, ()) {
    const auto ranks = *rc::gen::inRange<std::uint32_t>(2, 6);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(run_events(ranks, seed, *rc::gen::inRange<std::uint32_t>(50, 600)).has_value());
}

// Guards against a vacuous pass of the test above: many fixed seeds must commit switches and restart agents.
TEST(interleaving_test, fixed_seeds_commit_switches_under_restarts) {
    constexpr std::uint64_t seeds = 1000;
    constexpr std::uint32_t events = 1200;
    run_totals sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto totals = run_events(3 + seed % 3, seed, events);
        ASSERT_TRUE(totals) << "seed " << seed;
        sum.commits += totals->commits;
        sum.restarts += totals->restarts;
    }
    EXPECT_GT(sum.commits, seeds);
    EXPECT_GT(sum.restarts, seeds);
    std::cout << "commits " << sum.commits << " restarts " << sum.restarts << "\n";
    RecordProperty("commits", static_cast<int>(sum.commits));
    RecordProperty("restarts", static_cast<int>(sum.restarts));
}

} // namespace
} // namespace pomelohoist::test_group
