#include "spread/configuration_commit.h"

#include "platform/standin_process.h"
#include "spread/spread_fixture.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

namespace pomelohoist {
namespace {

constexpr int min_reads = 50;
constexpr std::uint64_t max_changes = 20000;

class configuration_commit_test : public testing::Test {
  protected:
    configuration_commit_test() {
        const auto first = this->store.commit(make_change("first", make_example_objects(8, 0)));
        EXPECT_TRUE(first) << first.last_error().reason;
    }

    /// Commits the changes concurrently, each with its own store client.
    std::vector<result<configuration>> commit_all(const std::vector<configuration_change>& changes) {
        std::vector<result<configuration>> results(changes.size(), failure{});
        std::vector<std::thread> threads;
        threads.reserve(changes.size());
        for (std::size_t i = 0; i < changes.size(); ++i) {
            threads.emplace_back([&, i] {
                configuration_commit own{this->table, this->objects};
                results[i] = own.commit(changes[i]);
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        return results;
    }

    std::string label(const std::string& workspace_name, const std::string& name) {
        configuration_commit reader{this->table, this->objects};
        const auto newest = reader.read_newest();
        EXPECT_TRUE(newest) << newest.last_error().reason;
        return newest->objects().at({object_kind::workspace, workspace_name}).values.at("label." + name);
    }

    memory_table table;
    memory_objects objects;
    configuration_commit store{this->table, this->objects};
};

// Guards against two accepted changes of one label, and against a refused change that does not report a conflict.
TEST_F(configuration_commit_test, same_label_has_one_winner_and_clear_conflicts) {
    const auto results = this->commit_all({make_relabel("a", "workspace-1", "size", "small", "a"),
                                           make_relabel("b", "workspace-1", "size", "small", "b"),
                                           make_relabel("c", "workspace-1", "size", "small", "c")});
    int accepted = 0;
    for (const auto& each : results) {
        accepted += each ? 1 : 0;
        if (!each) {
            EXPECT_EQ(each.last_error().kind, error_kind::conflict);
            EXPECT_NE(each.last_error().reason.find("workspace-1"), std::string::npos) << each.last_error().reason;
        }
    }
    EXPECT_EQ(accepted, 1);
    EXPECT_EQ(*this->store.read_version(), 2U);
}

// Guards against a change that is refused or lost because another change was committed first.
TEST_F(configuration_commit_test, different_labels_are_both_accepted) {
    std::vector<configuration_change> changes;
    changes.reserve(8);
    for (int i = 0; i < 8; ++i) {
        const std::string number = std::to_string(i);
        changes.push_back(make_relabel("change " + number, "workspace-1", "l" + number, std::nullopt, number));
    }
    for (const auto& each : this->commit_all(changes)) {
        EXPECT_TRUE(each) << each.last_error().reason;
    }
    EXPECT_EQ(*this->store.read_version(), 9U);
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(this->label("workspace-1", "l" + std::to_string(i)), std::to_string(i));
    }
}

// Guards against an accepted change that is reported as a conflict or accepted again after its response was lost.
TEST_F(configuration_commit_test, lost_response_is_resolved_by_the_change_id) {
    const auto change = make_relabel("x", "workspace-1", "size", "small", "large");
    this->table.faults().lose_responses(1);
    const auto accepted = this->store.commit(change);
    ASSERT_TRUE(accepted) << accepted.last_error().reason;
    EXPECT_EQ(accepted->version(), 2U);
    ASSERT_TRUE(this->store.commit(make_relabel("y", "workspace-1", "size", "large", "small")));
    const auto retried = this->store.commit(change);
    ASSERT_TRUE(retried);
    EXPECT_EQ(*this->store.read_version(), 3U) << "the change was accepted twice";
    EXPECT_EQ(this->label("workspace-1", "size"), "small");
}

// Guards against a change that is accepted twice, or refused for one of its senders, when several senders commit it
// concurrently.
TEST_F(configuration_commit_test, same_change_from_several_senders_counts_once) {
    constexpr std::uint64_t rounds = 50;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const std::string number = std::to_string(round);
        const auto change = make_relabel("change " + number, "workspace-1", "l" + number, std::nullopt, "v");
        this->table.faults().lose_responses(round % 3);
        for (const auto& each : this->commit_all({change, change, change, change})) {
            EXPECT_TRUE(each) << each.last_error().reason;
        }
        this->table.faults().lose_responses(0);
        ASSERT_EQ(*this->store.read_version(), round + 2);
    }
}

// Guards against a change id that is removed together with its delta.
TEST_F(configuration_commit_test, change_id_outlives_its_delta) {
    const auto change = make_relabel("x", "workspace-1", "size", "small", "large");
    ASSERT_TRUE(this->store.commit(change));
    ASSERT_TRUE(this->store.commit(make_relabel("y", "workspace-1", "size", "large", "small")));
    for (std::uint64_t i = 0; i < 3 * config::snapshot_interval_versions; ++i) {
        const std::string number = std::to_string(i);
        ASSERT_TRUE(this->store.commit(make_relabel("n" + number, "workspace-2", "n" + number, std::nullopt, "v")));
    }
    ASSERT_EQ(this->store.read_deltas(1).last_error().kind, error_kind::not_found) << "the delta is still there";
    const std::uint64_t version = *this->store.read_version();
    ASSERT_TRUE(this->store.commit(change));
    EXPECT_EQ(*this->store.read_version(), version);
    EXPECT_EQ(this->label("workspace-1", "size"), "small");
}

// Guards against changes that are lost or applied twice when responses get lost during concurrent commits.
TEST_F(configuration_commit_test, lost_responses_during_concurrent_commits) {
    std::vector<configuration_change> changes;
    changes.reserve(8);
    for (int i = 0; i < 8; ++i) {
        const std::string number = std::to_string(i);
        changes.push_back(make_relabel("change " + number, "workspace-1", "l" + number, std::nullopt, number));
    }
    this->table.faults().lose_responses(6);
    this->commit_all(changes);
    this->table.faults().lose_responses(0);
    for (const auto& each : this->commit_all(changes)) {
        EXPECT_TRUE(each) << each.last_error().reason;
    }
    EXPECT_EQ(*this->store.read_version(), 9U);
}

// Guards against a reader that finds neither the deltas nor a snapshot of a version while rows are removed.
TEST_F(configuration_commit_test, readers_find_every_version_while_deltas_are_removed) {
    std::atomic<bool> finished{false};
    std::atomic<int> reads{0};
    std::thread reader{[&] {
        std::uint64_t last = 0;
        while (!finished) {
            configuration_commit own{this->table, this->objects};
            const auto newest = own.read_newest();
            EXPECT_TRUE(newest) << newest.last_error().reason;
            if (!newest) {
                return;
            }
            EXPECT_GE(newest->version(), last) << "an accepted version was missed";
            last = newest->version();
            ++reads;
        }
    }};
    constexpr std::uint64_t min_changes = 4 * config::snapshot_interval_versions;
    std::optional<std::string> previous;
    // Continues until the reader has read many states, so that reads overlap removals of rows on hosts of any speed.
    for (std::uint64_t i = 0; i < min_changes || (reads < min_reads && i < max_changes); ++i) {
        const std::string number = std::to_string(i);
        EXPECT_TRUE(this->store.commit(make_relabel("n" + number, "workspace-2", "n", previous, number)));
        previous = number;
    }
    finished = true;
    reader.join();
    EXPECT_GE(reads, min_reads);
    const auto kept = this->table.list("config/delta/");
    EXPECT_LE(kept->size(), 2 * config::snapshot_interval_versions);
    EXPECT_EQ(this->objects.size(), *this->store.read_version() / config::snapshot_interval_versions);
}

// Guards against an outage of the object store that blocks changes, or that removes deltas without a snapshot.
TEST_F(configuration_commit_test, object_store_outage_only_delays_snapshots) {
    this->objects.faults().set_down(true);
    for (std::uint64_t i = 0; i < 2 * config::snapshot_interval_versions; ++i) {
        const std::string number = std::to_string(i);
        ASSERT_TRUE(this->store.commit(make_relabel("n" + number, "workspace-2", "n" + number, std::nullopt, "v")));
    }
    configuration_commit reader{this->table, this->objects};
    EXPECT_EQ(reader.read_newest()->version(), *this->store.read_version());
    this->objects.faults().set_down(false);
    ASSERT_TRUE(this->store.commit(make_relabel("last", "workspace-2", "last", std::nullopt, "v")));
    EXPECT_EQ(this->objects.size(), 1U);
}

// Guards against rows that only the in-memory table accepts, and against lost responses on real connections.
TEST(configuration_commit_http_test, changes_over_http_with_lost_responses_count_once) {
    standin_process standin{{"--seed", "3"}};
    const system_clock time;
    http_platform client{standin.address(), time};
    configuration_commit store{client, client};
    ASSERT_TRUE(store.commit(make_change("first", make_example_objects(8, 0))));
    standin.control("faults", R"({"lose_answers":{"share":0.3}})");
    constexpr std::uint64_t changes = config::snapshot_interval_versions * 3;
    for (std::uint64_t i = 0; i < changes; ++i) {
        const std::string number = std::to_string(i);
        const auto change = make_relabel("n" + number, "workspace-2", "n" + number, std::nullopt, "v");
        bool accepted = false;
        for (int attempt = 0; attempt < 20 && !accepted; ++attempt) {
            accepted = store.commit(change).has_value();
        }
        ASSERT_TRUE(accepted);
    }
    http_platform second_client{standin.address(), time};
    configuration_commit reader{second_client, second_client};
    const auto newest = reader.read_newest();
    ASSERT_TRUE(newest) << newest.last_error().reason;
    EXPECT_EQ(newest->version(), changes + 1);
}

// Guards against an unreported outage of the table, and against a partially accepted change.
TEST_F(configuration_commit_test, table_outage_is_reported) {
    const auto change = make_relabel("x", "workspace-1", "size", "small", "large");
    this->table.faults().set_down(true);
    EXPECT_EQ(this->store.commit(change).last_error().kind, error_kind::store_unavailable);
    EXPECT_EQ(this->store.read_newest().last_error().kind, error_kind::store_unavailable);
    this->table.faults().set_down(false);
    EXPECT_EQ(*this->store.read_version(), 1U);
    EXPECT_TRUE(this->store.commit(change));
}

} // namespace
} // namespace pomelohoist
