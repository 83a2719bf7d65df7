#include "group/rank_group.h"

#include "inner/datagram_endpoint.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <thread>

namespace pomelohoist::test_group {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t ranks = 8;
constexpr std::uint64_t some_steps = 50;

std::string work_folder(const std::string& name) {
    std::string folder = POMELOHOIST_BIN_DIR "/../group/" + name;
    std::filesystem::remove_all(folder);
    return folder;
}

/// Last check of every test: the ranks continue their steps, and every step ran with the same map at all ranks.
void expect_lock_step(rank_group& group) {
    EXPECT_TRUE(group.run_steps(some_steps)) << "the ranks did not continue their steps";
    const journal_report report = group.read_journals();
    EXPECT_EQ(report.faults, std::vector<std::string>{});
    testing::Test::RecordProperty("steps", std::to_string(report.common_steps));
    testing::Test::RecordProperty("maps", std::to_string(report.maps));
    std::cout << "steps " << report.common_steps << " maps " << report.maps << '\n';
}

// Guards against a group that never switches its map, or whose ranks switch at different steps.
TEST(group_process_test, maps_are_switched_repeatedly) {
    rank_group group{ranks, work_folder("switches")};
    ASSERT_TRUE(group.run_maps(5));
    expect_lock_step(group);
    EXPECT_EQ(group.stop(), std::vector<std::string>{});
}

// Guards against a switch that remains undecided when its coordinator is killed, and against a restarted agent that
// grants steps before it has recovered.
TEST(group_process_test, coordinators_are_killed) {
    rank_group group{ranks, work_folder("kills")};
    ASSERT_TRUE(group.run_maps(2));
    constexpr int kills = 4;
    for (int kill = 0; kill < kills; ++kill) {
        const auto coordinator = group.find_coordinator();
        ASSERT_TRUE(coordinator);
        group.agent(*coordinator).process->kill();
        group.restart_agent(*coordinator);
        ASSERT_TRUE(group.run_maps(1)) << "no switch after kill " << kill;
    }
    expect_lock_step(group);
}

// Guards against a coordinator that was frozen until its lease expired and whose messages are still accepted while its
// successor coordinates.
TEST(group_process_test, coordinator_is_frozen_past_its_lease) {
    rank_group group{ranks, work_folder("freezes")};
    ASSERT_TRUE(group.run_maps(2));
    constexpr int freezes = 3;
    for (int freeze = 0; freeze < freezes; ++freeze) {
        const auto frozen = group.find_coordinator();
        ASSERT_TRUE(frozen);
        group.agent(*frozen).process->freeze();
        const auto deadline = std::chrono::steady_clock::now() + 60s;
        while (group.find_coordinator() == frozen && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(20ms);
        }
        EXPECT_NE(group.find_coordinator(), frozen) << "no agent took over the lease";
        group.agent(*frozen).process->resume();
        ASSERT_TRUE(group.run_maps(1)) << "no switch after freeze " << freeze;
    }
    expect_lock_step(group);
}

// Guards against late and retransmitted messages of an earlier lease holder: no agent may promise the
// switch in these messages, and no rank may run a map that only the earlier holder decided.
TEST(group_process_test, late_messages_of_an_earlier_lease_holder_are_refused) {
    rank_group group{ranks, work_folder("late-orders")};
    ASSERT_TRUE(group.run_maps(1));
    const std::uint64_t old_epoch = group.lease_epoch();
    const auto coordinator = group.find_coordinator();
    ASSERT_TRUE(coordinator);
    group.agent(*coordinator).process->kill();
    group.restart_agent(*coordinator);
    ASSERT_TRUE(group.run_maps(2));
    ASSERT_GT(group.lease_epoch(), old_epoch);
    const system_clock time;
    inner::datagram_endpoint sender{{"127.0.0.1", 0}, "late", time};
    sender.start(nullptr);
    constexpr int rounds = 20;
    constexpr std::uint64_t high_round = 1000;
    constexpr auto timeout = 3s;
    for (int round = 0; round < rounds; ++round) {
        const journal_report now = group.read_journals();
        const inner::switch_ballot ballot{old_epoch, high_round, *coordinator, 1};
        const inner::map_start late_map{{now.last_map.version + 1, 4711}, now.common_steps + 3};
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            const auto vote = inner::call_datagram<inner::switch_vote>(
                sender, group.agent(rank).inner, inner::switch_prepare{"g", ballot, now.last_map, late_map}, timeout);
            EXPECT_TRUE(vote && !vote->promised) << "rank " << rank;
            const auto state = inner::call_datagram<inner::switch_state>(
                sender, group.agent(rank).inner, inner::switch_decision{"g", ballot, true, late_map}, timeout);
            EXPECT_TRUE(state && state->committed_map && state->committed_map->map != late_map.map) << "rank " << rank;
        }
    }
    sender.stop();
    ASSERT_TRUE(group.run_maps(1)) << "no switch after the late messages";
    expect_lock_step(group);
}

// Guards against steps or recoveries that need the store: agents are restarted while the store is down.
TEST(group_process_test, store_is_down) {
    rank_group group{ranks, work_folder("store-down")};
    ASSERT_TRUE(group.run_maps(2));
    const auto coordinator = group.find_coordinator();
    ASSERT_TRUE(coordinator);
    group.set_store_down(true);
    ASSERT_TRUE(group.run_steps(some_steps)) << "the ranks stopped their steps while the store was down";
    for (const std::uint32_t rank : {*coordinator, (*coordinator + 1) % ranks}) {
        group.agent(rank).process->kill();
        group.restart_agent(rank);
        ASSERT_TRUE(group.run_steps(some_steps)) << "no recovery without the store";
    }
    group.set_store_down(false);
    ASSERT_TRUE(group.run_maps(1)) << "no switch after the outage";
    expect_lock_step(group);
}

// Guards against ranks that run different maps after a cold start: all agents lose their state at once.
TEST(group_process_test, all_agents_are_restarted) {
    rank_group group{ranks, work_folder("cold-start")};
    ASSERT_TRUE(group.run_maps(2));
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        group.agent(rank).process->kill();
    }
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        group.restart_agent(rank);
    }
    ASSERT_TRUE(group.run_maps(2));
    expect_lock_step(group);
}

// Guards against faults in unforeseen combinations and at unforeseen times.
TEST(group_process_test, seeded_faults) {
    const char* text = std::getenv("GROUP_SEED");
    const std::uint64_t seed = text == nullptr ? 1 : std::stoull(text);
    std::mt19937_64 random{seed};
    rank_group group{ranks, work_folder("seed-" + std::to_string(seed))};
    ASSERT_TRUE(group.run_maps(1));
    constexpr int faults = 12;
    for (int fault = 0; fault < faults; ++fault) {
        const auto rank = static_cast<std::uint32_t>(random() % ranks);
        const std::chrono::milliseconds moment{random() % 300};
        const bool is_store_down = random() % 3 == 0;
        std::this_thread::sleep_for(moment);
        group.set_store_down(is_store_down);
        if (random() % 2 == 0) {
            group.agent(rank).process->kill();
            group.restart_agent(rank);
        } else {
            group.agent(rank).process->freeze();
            std::this_thread::sleep_for(std::chrono::milliseconds{random() % 2500});
            group.agent(rank).process->resume();
        }
        ASSERT_TRUE(group.run_steps(random() % some_steps)) << "seed " << seed << " fault " << fault;
    }
    group.set_store_down(false);
    ASSERT_TRUE(group.run_maps(1)) << "seed " << seed;
    expect_lock_step(group);
}

} // namespace
} // namespace pomelohoist::test_group
