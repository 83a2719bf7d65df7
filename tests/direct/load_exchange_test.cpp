#include "direct/update_schedule.h"
#include "placement/load_tracker.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace pomelohoist;
using namespace std::chrono_literals;

namespace {

/// Requests and updates of the largest deployment with a site file: 53 entries, 522 requests/s.
constexpr std::size_t many_entries = 53;
constexpr double changes_per_second = 2 * 522.0 / many_entries; // a request changes the load twice

} // namespace

// Guards against sums that drift from the loads they stand for: any order of updates and expirations, entries that
// report an endpoint twice or with no request.
TEST(load_tracker_test, sums_are_those_of_the_current_loads) {
    std::mt19937_64 random{11};
    manual_clock time;
    load_tracker tracker{time};
    std::map<std::string, std::pair<steady_time, std::vector<endpoint_load>>> expected;
    for (int i = 0; i < 20000; ++i) {
        time.advance(std::chrono::milliseconds{random() % 40});
        std::vector<endpoint_load> loads;
        for (std::uint64_t count = random() % 6; count > 0; --count) {
            loads.push_back({static_cast<endpoint_digest>(random() % 8), static_cast<std::uint16_t>(random() % 3)});
        }
        const std::string peer = "entry-" + std::to_string(random() % 30);
        tracker.set_peer_load(peer, loads);
        expected[peer] = {time.now(), loads};
        std::uint32_t sum = 0;
        const auto asked = static_cast<endpoint_digest>(random() % 8);
        std::uint32_t live = 1;
        for (const auto& [name, reported] : expected) {
            const bool is_current = time.now() - reported.first <= config::peer_load_lifetime;
            live += is_current ? 1U : 0U;
            for (const endpoint_load& load : reported.second) {
                sum += is_current && load.endpoint == asked ? load.active : 0U;
            }
        }
        ASSERT_EQ(tracker.total(asked), sum) << "step " << i;
        ASSERT_EQ(tracker.entries(), live) << "step " << i;
    }
}

// Guards against entries that spend their processor time on each other's updates: the updates that an entry receives
// must not grow with the number of entries.
TEST(update_schedule_test, load_updates_received_by_an_entry_are_bounded) {
    for (const std::size_t entries : {std::size_t{26}, many_entries, std::size_t{100}}) {
        const std::chrono::duration<double> interval = load_update_interval(entries);
        const double received = static_cast<double>(entries) * std::min(changes_per_second, 1.0 / interval.count());
        EXPECT_LE(received, config::load_updates_per_second * 1.02) << entries;
    }
    // The periodic updates contain the load too, and other entries ignore a load that is older than its lifetime.
    EXPECT_LE(load_update_interval(360), config::peer_update_interval);
}

// Guards against stale loads in small deployments: an entry of twelve sends each change within a step of an engine.
TEST(update_schedule_test, few_entries_send_their_load_at_once) {
    EXPECT_LE(load_update_interval(12), 50ms);
}

// Guards against a process beside a rank that spends its time on the updates of all others.
TEST(update_schedule_test, rank_updates_received_by_a_process_are_bounded) {
    EXPECT_EQ(rank_update_interval(28), config::rank_update_interval);
    for (const std::size_t processes : {std::size_t{245}, std::size_t{1760}}) {
        const std::chrono::duration<double> interval = rank_update_interval(processes);
        EXPECT_LE(static_cast<double>(processes) / interval.count(), config::rank_updates_per_second * 1.02);
    }
}
