#include "spread/configuration_spreader.h"

#include "spread/configuration_codec.h"
#include "spread/member_registry.h"
#include "spread/spread_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t process_count = 20;
constexpr int change_count = 12;
constexpr auto propagation_target = 2000ms;
constexpr auto wait_limit = 10s;

/// A peer whose version does not change.
class stale_peer : public inner::datagram_handler, public inner::stream_handler {
  public:
    explicit stale_peer(const configuration& content) {
        this->state.apply_configuration(content);
        this->listener.start(*this, *this);
    }
    ~stale_peer() override { this->listener.stop(); }
    stale_peer(const stale_peer&) = delete;
    stale_peer& operator=(const stale_peer&) = delete;

    inner::payload handle_datagram(const inner::packet& /*request*/) override {
        return inner::to_payload(inner::announce_response{this->state.current()->version(), 0});
    }
    void handle_stream(const inner::packet& /*first*/, inner::frame_channel& channel) override {
        channel.send(this->state.serve_pull({}));
    }
    [[nodiscard]] net_address address() const { return this->listener.local_address(); }

  private:
    system_clock time;
    configuration_state state;
    inner::peer_listener listener{{"127.0.0.1", 0}, "stale", this->time};
};

class spread_test : public testing::Test {
  protected:
    /// Commits declarations and starts the processes, each with the first two processes as seeds.
    void start(std::size_t number) {
        this->processes = make_processes(this->platform, number, 7);
        ASSERT_TRUE(this->store.commit(make_change("first", make_objects(this->processes, 16))));
        const std::vector<peer> seeds{this->processes.at(0)->as_peer(), this->processes.at(1)->as_peer()};
        for (const auto& process : this->processes) {
            process->start(seeds);
        }
        for (const auto& process : this->processes) {
            ASSERT_TRUE(process->source().wait_ready(wait_limit));
        }
    }

    std::uint64_t commit_label(const std::string& value) {
        const std::string id = "change " + std::to_string(++this->changes);
        const auto accepted =
            this->store.commit(make_relabel(id, "workspace-1", "n" + std::to_string(this->changes), {}, value));
        EXPECT_TRUE(accepted) << accepted.last_error().reason;
        return accepted ? accepted->version() : 0;
    }

    bool all_have(std::uint64_t version) const {
        return std::all_of(this->processes.begin(), this->processes.end(),
                           [version](const auto& process) { return process->version() >= version; });
    }
    bool any_has(std::uint64_t version) const {
        return std::any_of(this->processes.begin(), this->processes.end(),
                           [version](const auto& process) { return process->version() >= version; });
    }

    /// @param store_fails_early stops the store as soon as the first process has the change
    void measure_propagation(const std::string& title, bool store_fails_early) {
        std::vector<double> times_ms;
        for (int i = 0; i < change_count; ++i) {
            const std::uint64_t version = this->commit_label("v");
            const auto begin = std::chrono::steady_clock::now();
            if (store_fails_early) {
                ASSERT_TRUE(wait_until([&] { return this->any_has(version); }, wait_limit));
                this->platform.set_down(true);
            }
            ASSERT_TRUE(wait_until([&] { return this->all_have(version); }, wait_limit));
            const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - begin;
            times_ms.push_back(elapsed.count());
            this->platform.set_down(false);
        }
        std::sort(times_ms.begin(), times_ms.end());
        std::cout << title << ": " << process_count << " processes, " << change_count << " changes, p50 "
                  << times_ms[times_ms.size() / 2] << " ms, p99 " << times_ms.back() << " ms\n";
        EXPECT_LE(times_ms.back(), static_cast<double>(propagation_target.count()));
    }

    shared_platform platform;
    configuration_commit store{this->platform.table, this->platform.objects};
    process_list processes;
    int changes{0};
};

// Guards against changes that take longer than the target to be in force everywhere.
TEST_F(spread_test, change_is_in_force_everywhere_in_time) {
    this->start(process_count);
    this->measure_propagation("store up", false);
    spread_counts total;
    for (const auto& process : this->processes) {
        const spread_counts counts = process->source().counts();
        total.polls += counts.polls;
        total.pulls += counts.pulls;
        total.announces += counts.announces;
        total.bytes += counts.bytes;
    }
    std::cout << "total: polls " << total.polls << ", pulls " << total.pulls << ", announces " << total.announces
              << ", bytes " << total.bytes << '\n';
}

// Guards against a propagation that still needs the store after one process has the change.
TEST_F(spread_test, store_outage_does_not_delay_the_propagation) {
    this->start(process_count);
    this->measure_propagation("store down after the first", true);
}

// Guards against a propagation that is slow when most declared agents do not run: 3 running processes, 1,400 absent
// agents.
TEST_F(spread_test, absent_agents_do_not_delay_the_propagation) {
    constexpr std::size_t running = 3;
    constexpr std::size_t absent = 1400;
    constexpr int changes_made = 4;
    constexpr auto in_force_limit = 7s;
    this->processes = make_processes(this->platform, running, 7);
    object_map objects = make_objects(this->processes, 16);
    for (const auto& [key, fields] : make_example_objects(0, absent)) {
        if (key.kind == object_kind::endpoint) {
            object_fields unreachable = fields;
            // A loopback address on which nothing listens.
            unreachable.values["agent"] = "127.250.0.1:" + std::to_string(10000 + objects.size());
            objects.emplace(object_key{key.kind, "absent-" + key.name}, unreachable);
        }
    }
    ASSERT_TRUE(this->store.commit(make_change("first", objects)));
    for (const auto& process : this->processes) {
        process->start({this->processes.front()->as_peer()});
    }
    for (const auto& process : this->processes) {
        ASSERT_TRUE(process->source().wait_ready(wait_limit));
    }
    for (int i = 0; i < changes_made; ++i) {
        const std::uint64_t version = this->commit_label("v");
        const auto begin = std::chrono::steady_clock::now();
        EXPECT_TRUE(wait_until([&] { return this->all_have(version); }, in_force_limit));
        const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - begin;
        std::cout << "in force at all " << running << " running processes after " << elapsed.count() << " ms\n";
    }
}

// Guards against versions that decrease after late, repeated or false announcements and responses.
TEST_F(spread_test, late_and_repeated_announcements_do_not_revert) {
    this->start(3);
    std::atomic<bool> finished{false};
    std::thread sender{[&] {
        while (!finished) {
            for (std::uint64_t version = 0; version < 5; ++version) {
                this->processes[0]->source().handle_announce(
                    {this->processes[1]->as_peer().inner, "centro-2", version, version});
                this->processes[0]->source().handle_pull({version, 0});
            }
            std::this_thread::sleep_for(1ms);
        }
    }};
    std::thread observer{[&] {
        std::uint64_t last = 0;
        while (!finished) {
            const std::uint64_t version = this->processes[0]->version();
            EXPECT_GE(version, last);
            last = version;
            std::this_thread::yield();
        }
    }};
    std::uint64_t version = 0;
    for (int i = 0; i < 5; ++i) {
        version = this->commit_label("v");
        std::this_thread::sleep_for(100ms);
    }
    EXPECT_TRUE(wait_until([&] { return this->all_have(version); }, wait_limit));
    finished = true;
    sender.join();
    observer.join();
    EXPECT_EQ(*this->processes[0]->source().current(), *this->store.read_newest());
}

// Guards against a store outage that prevents a start although peers have the configuration.
TEST_F(spread_test, process_starts_from_peers_during_an_outage) {
    this->start(4);
    const std::uint64_t version = this->commit_label("v");
    ASSERT_TRUE(wait_until([&] { return this->all_have(version); }, wait_limit));
    this->platform.set_down(true);
    spread_process late{this->platform, "late", "centro-1", 99};
    late.start({this->processes[2]->as_peer()});
    ASSERT_TRUE(late.source().wait_ready(wait_limit));
    EXPECT_EQ(late.version(), version);
}

// Guards against a start with the old version of a seed while agents listed in its configuration have a newer one.
TEST_F(spread_test, start_loads_the_highest_version_of_all_reachable_peers) {
    this->processes = make_processes(this->platform, 1, 7);
    const auto oldest = this->store.commit(make_change("first", make_objects(this->processes, 4)));
    ASSERT_TRUE(oldest);
    stale_peer outdated{*oldest};
    const std::uint64_t version = this->commit_label("v");
    this->processes[0]->start({});
    ASSERT_TRUE(this->processes[0]->source().wait_ready(wait_limit));
    this->platform.set_down(true);
    spread_process late{this->platform, "late", "centro-1", 99};
    late.start({{outdated.address(), "centro-1"}});
    ASSERT_TRUE(late.source().wait_ready(wait_limit));
    EXPECT_EQ(late.version(), version);
}

// Guards against a start with a peer's version that is lower than the newest version in the store while the object
// store is down.
TEST_F(spread_test, start_does_not_stop_below_the_head) {
    this->processes = make_processes(this->platform, 1, 7);
    const auto oldest = this->store.commit(make_change("first", make_objects(this->processes, 4)));
    ASSERT_TRUE(oldest);
    stale_peer outdated{*oldest};
    for (std::uint64_t i = 0; i < 3 * config::snapshot_interval_versions; ++i) {
        this->commit_label("v");
    }
    this->platform.objects.faults().set_down(true);
    this->processes[0]->start({{outdated.address(), "centro-1"}});
    EXPECT_FALSE(this->processes[0]->source().wait_ready(1s)) << "version " << this->processes[0]->version();
    this->platform.objects.faults().set_down(false);
    EXPECT_TRUE(this->processes[0]->source().wait_ready(wait_limit));
    EXPECT_EQ(this->processes[0]->version(), *this->store.read_version());
}

// Guards against a process that serves before it has a configuration, or that never starts after an outage of
// the platform.
TEST_F(spread_test, process_without_any_source_waits) {
    this->processes = make_processes(this->platform, 1, 7);
    ASSERT_TRUE(this->store.commit(make_change("first", make_objects(this->processes, 4))));
    this->platform.set_down(true);
    this->processes[0]->start({});
    EXPECT_FALSE(this->processes[0]->source().wait_ready(700ms));
    EXPECT_EQ(this->processes[0]->version(), 0U);
    this->platform.set_down(false);
    EXPECT_TRUE(this->processes[0]->source().wait_ready(wait_limit));
}

/// @returns a change that adds workspaces, numbered from `first`
configuration_delta make_workspaces_delta(std::uint64_t version, std::size_t first, std::size_t number) {
    object_map added;
    for (std::size_t i = first; i < first + number; ++i) {
        added[{object_kind::workspace, "added-" + std::to_string(i)}].values = {{"key_sha256", example_digest(i)}};
    }
    return {version, {"add-" + std::to_string(version), diff_objects({}, added, false)}};
}

// Guards against deltas that exhaust the memory of a process, and against a gap in the kept deltas.
TEST(configuration_state_test, keeps_recent_deltas_up_to_a_number_of_bytes) {
    configuration_state state;
    ASSERT_TRUE(state.apply_deltas({make_workspaces_delta(1, 0, 10), make_workspaces_delta(2, 10, 10)}));
    EXPECT_EQ(state.serve_pull({1, 0}).deltas.size(), 1U);
    const configuration_delta large = make_workspaces_delta(3, 20, 15000);
    ASSERT_GT(encode_delta(large).size(), config::max_recent_delta_bytes);
    ASSERT_TRUE(state.apply_deltas({large}));
    ASSERT_TRUE(state.apply_deltas({make_workspaces_delta(4, 15020, 10)}));
    EXPECT_EQ(state.serve_pull({3, 0}).deltas.size(), 1U);
    for (const std::uint64_t version : {std::uint64_t{1}, std::uint64_t{2}}) {
        const inner::pull_response response = state.serve_pull({version, 0});
        EXPECT_TRUE(response.deltas.empty());
        const result<configuration> snapshot = decode_configuration(response.snapshot);
        ASSERT_TRUE(snapshot);
        EXPECT_EQ(*snapshot, *state.current());
    }
}

// Guards against a process that never catches up when it is more versions behind than its peers keep deltas.
TEST_F(spread_test, distant_version_is_pulled_as_a_snapshot) {
    this->start(2);
    shared_platform empty;
    for (std::size_t i = 0; i < config::max_recent_deltas + 10; ++i) {
        this->commit_label("v");
    }
    std::uint64_t version = *this->store.read_version();
    ASSERT_TRUE(wait_until([&] { return this->all_have(version); }, wait_limit));
    EXPECT_FALSE(this->processes[0]->source().handle_pull({1, 0}).snapshot.empty());
    // A process that has applied the version above as a snapshot keeps only later deltas.
    version = this->commit_label("v");
    ASSERT_TRUE(wait_until([&] { return this->all_have(version); }, wait_limit));
    EXPECT_EQ(this->processes[0]->source().handle_pull({version - 1, 0}).deltas.size(), 1U);
    spread_process late{empty, "late", "centro-1", 99};
    late.start({this->processes[0]->as_peer()});
    EXPECT_TRUE(wait_until([&] { return late.version() == version; }, wait_limit));
    EXPECT_EQ(*late.source().current(), *this->store.read_newest());
}

// Guards against a host list that reaches only the processes that poll it.
TEST_F(spread_test, host_list_is_propagated) {
    this->start(6);
    this->platform.hosts.set({3, {"host-2"}});
    EXPECT_TRUE(wait_until(
        [&] {
            return std::all_of(this->processes.begin(), this->processes.end(),
                               [](const auto& process) { return process->source().is_leaving("host-2"); });
        },
        wait_limit));
    shared_platform empty;
    spread_process late{empty, "late", "centro-1", 99};
    late.start({this->processes[0]->as_peer()});
    EXPECT_TRUE(wait_until([&] { return late.source().is_leaving("host-2"); }, wait_limit));
    EXPECT_FALSE(late.source().is_leaving("host-1"));
    EXPECT_EQ(late.source().host_list_version(), 3U);
}

// Guards against applying deltas with a gap, out of order or of another history.
TEST(configuration_state_test, refuses_deltas_with_gaps) {
    configuration_state state;
    const configuration_delta first{1, make_change("first", make_example_objects(2, 0))};
    const configuration_delta second{2, make_relabel("s", "workspace-1", "size", "small", "large")};
    const configuration_delta third{3, make_relabel("t", "workspace-1", "size", "large", "small")};
    EXPECT_FALSE(state.apply_deltas({second}));
    EXPECT_FALSE(state.apply_deltas({first, third}));
    EXPECT_EQ(state.current()->version(), 0U) << "a part of a refused list was applied";
    ASSERT_TRUE(state.apply_deltas({first}));
    ASSERT_TRUE(state.apply_deltas({first, second, third}));
    EXPECT_EQ(state.current()->version(), 3U);
    EXPECT_TRUE(state.apply_deltas({first, second}));
    EXPECT_EQ(state.current()->version(), 3U);
    inner::pull_response malformed;
    malformed.deltas = {"noise"};
    EXPECT_FALSE(state.apply_response(malformed));
    malformed = {};
    malformed.snapshot = "noise";
    EXPECT_FALSE(state.apply_response(malformed));
    state.apply_configuration(configuration{});
    EXPECT_EQ(state.current()->version(), 3U);
}

// Guards against rows of crashed entries that remain, and against the removal of rows of running entries.
TEST(member_registry_test, keeps_running_and_removes_crashed_entries) {
    memory_table table;
    manual_clock time;
    seeded_random random{1};
    const member own{"entry-1", {"127.0.0.1", 1}, {"127.0.0.1", 2}, "centro-1"};
    const member crashed{"entry-2", {"127.0.0.1", 3}, {"127.0.0.1", 4}, "centro-2"};
    member_registry registry{table, time, random, own};
    {
        member_registry crashed_registry{table, time, random, crashed};
        ASSERT_TRUE(crashed_registry.refresh());
    }
    ASSERT_TRUE(registry.refresh());
    EXPECT_EQ(*list_members(table), (std::vector<member>{own, crashed}));
    time.advance(member_registry::row_lifetime + 1s);
    ASSERT_TRUE(registry.refresh());
    EXPECT_EQ(*list_members(table), std::vector<member>{own});
    registry.start();
    registry.stop();
    EXPECT_TRUE(list_members(table)->empty());
    table.faults().set_down(true);
    EXPECT_FALSE(registry.refresh());
}

} // namespace
} // namespace pomelohoist
