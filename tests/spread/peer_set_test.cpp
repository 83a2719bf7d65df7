#include "spread/peer_set.h"

#include "declaration/example_objects.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t far_port = 100;

net_address at(std::uint16_t port) {
    return {"127.0.0.1", port};
}

class peer_set_test : public testing::Test {
  protected:
    manual_clock time;
    seeded_random random{11};
    peer_set peers{this->time, at(1), "centro-1"};
};

// Guards against announcements that never, or mostly, go to other data centres.
TEST_F(peer_set_test, chooses_mostly_the_own_data_centre) {
    for (std::uint16_t port = 2; port < 12; ++port) {
        this->peers.record_seen(at(port), "centro-1");
        this->peers.record_seen(at(static_cast<std::uint16_t>(port + far_port)), "centro-2");
    }
    constexpr int draws = 4000;
    int far = 0;
    for (int i = 0; i < draws; ++i) {
        const auto selected = this->peers.choose(1, this->random);
        ASSERT_EQ(selected.size(), 1U);
        far += selected.front().port > far_port ? 1 : 0;
    }
    EXPECT_NEAR(far, draws * 0.25, draws * 0.05);
    for (int i = 0; i < 100; ++i) {
        const auto selected = this->peers.choose(2, this->random);
        EXPECT_TRUE(selected.size() < 2 || selected[0] != selected[1]) << "one peer selected twice in a round";
    }
}

// Guards against a process that announces to itself, or to no peer when all peers are in other data centres.
TEST_F(peer_set_test, excludes_itself_and_reaches_other_data_centres) {
    EXPECT_TRUE(this->peers.choose(2, this->random).empty());
    this->peers.record_seen(at(1), "centro-1");
    EXPECT_EQ(this->peers.size(), 0U);
    this->peers.add_seeds({{at(1), "centro-1"}, {at(5), "centro-2"}});
    EXPECT_EQ(this->peers.choose(1, this->random), std::vector<net_address>{at(5)});
}

// Guards against records of stopped processes that never expire, and against declared agents that expire.
TEST_F(peer_set_test, expires_unresponsive_processes_unless_declared) {
    const auto declared = configuration::build(1, make_example_objects(1, 2));
    ASSERT_TRUE(declared) << declared.last_error().reason;
    const net_address agent = declared->endpoints().front().agent;
    this->peers.record_seen(at(7), "centro-1");
    this->peers.record_seen(agent, "centro-1");
    this->peers.set_declared(*declared);
    EXPECT_EQ(this->peers.size(), 3U);
    this->time.advance(16min);
    this->peers.record_seen(at(8), "centro-1");
    const auto known = this->peers.all();
    EXPECT_EQ(std::count(known.begin(), known.end(), at(7)), 0);
    EXPECT_EQ(std::count(known.begin(), known.end(), agent), 1);
    EXPECT_EQ(std::count(known.begin(), known.end(), at(8)), 1);
    this->peers.set_declared(configuration{});
    EXPECT_EQ(this->peers.all(), std::vector<net_address>{at(8)});
}

// Guards against rounds in which all announcements go to declared processes that do not run.
TEST_F(peer_set_test, first_target_of_a_round_is_responsive) {
    constexpr std::size_t declared_agents = 1000;
    const auto declared = configuration::build(1, make_example_objects(1, declared_agents));
    ASSERT_TRUE(declared) << declared.last_error().reason;
    this->time.advance(1s);
    this->peers.set_declared(*declared);
    const net_address running = declared->endpoints().at(7).agent;
    EXPECT_EQ(this->peers.responsive_count(), 0U);
    this->peers.record_response(running);
    EXPECT_EQ(this->peers.responsive_count(), 1U);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(this->peers.choose(2, this->random).front(), running);
    }
    // A new version must not reset which peers are responsive.
    this->peers.set_declared(*declared);
    EXPECT_EQ(this->peers.choose(2, this->random).front(), running);
    this->time.advance(2min);
    this->peers.set_declared(*declared);
    EXPECT_EQ(this->peers.responsive_count(), 0U);
}

// Guards against too frequent polls of the store when a process has received announcements from only a few of many
// running processes, and against too rare polls when most known processes do not run.
TEST_F(peer_set_test, estimates_the_running_processes_from_samples) {
    constexpr std::size_t declared_agents = 800;
    const auto declared = configuration::build(1, make_example_objects(1, declared_agents));
    ASSERT_TRUE(declared) << declared.last_error().reason;
    this->peers.set_declared(*declared);
    EXPECT_EQ(this->peers.estimate_running(), declared_agents / 8);
    for (int i = 0; i < 200; ++i) {
        this->peers.record_sample(true);
    }
    EXPECT_GE(this->peers.estimate_running(), declared_agents * 99 / 100);
    for (int i = 0; i < 200; ++i) {
        this->peers.record_sample(false);
    }
    EXPECT_EQ(this->peers.estimate_running(), declared_agents / 8);
}

} // namespace
} // namespace pomelohoist
