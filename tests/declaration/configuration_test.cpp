#include "declaration/configuration.h"

#include "example_objects.h"

#include "declaration/declaration_file.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <malloc.h>

namespace pomelohoist {
namespace {

using testing::HasSubstr;

constexpr std::size_t megabyte = 1U << 20U;

configuration build(const object_map& objects) {
    const result<configuration> built = configuration::build(1, objects);
    EXPECT_TRUE(built) << built.last_error().reason;
    return built ? *built : configuration{};
}

patch label_patch(object_kind kind, const std::string& name, const std::string& key, std::optional<std::string> before,
                  std::optional<std::string> after) {
    return {{kind, name}, "label." + key, std::move(before), std::move(after)};
}

std::vector<endpoint_handle> drafts_of(const configuration& current, const std::string& workspace_name) {
    return current.reachable(workspace_name, "drafts", endpoint_kind::model, "design-llm");
}

TEST(label_selector_test, parses_and_matches) {
    const result<label_selector> parsed = label_selector::parse("a=b, c!=d");
    ASSERT_TRUE(parsed);
    EXPECT_TRUE(parsed->matches({{{"label.a", "b"}}}));
    EXPECT_TRUE(parsed->matches({{{"label.a", "b"}, {"label.c", "e"}}}));
    EXPECT_FALSE(parsed->matches({{{"label.a", "b"}, {"label.c", "d"}}}));
    EXPECT_FALSE(parsed->matches({{{"a", "b"}}}));
    EXPECT_TRUE(label_selector::parse("*")->matches({}));
    for (const std::string bad : {"", "a", "a=", "=b", "a==b", "a=b,", ",a=b", "a=b;c=d", "*,a=b", "a!b", "!=b"}) {
        EXPECT_FALSE(label_selector::parse(bad)) << bad;
    }
}

// Guards against a large change that is not merged into the shared objects, so that each later change copies it.
TEST(configuration_test, change_after_a_large_one_copies_little) {
    const configuration empty;
    configuration_delta large{1, {"large", diff_objects({}, make_example_objects(15000, 1400), false)}};
    const result<configuration> first = empty.apply(large);
    ASSERT_TRUE(first) << first.last_error().reason;
    const std::size_t before = mallinfo2().uordblks;
    const result<configuration> second =
        first->apply({2, {"small", {label_patch(object_kind::workspace, "workspace-7", "size", "small", "large")}}});
    ASSERT_TRUE(second) << second.last_error().reason;
    EXPECT_LT(mallinfo2().uordblks - before, megabyte);
    EXPECT_EQ(second->objects().size(), first->objects().size());
}

TEST(configuration_test, finds_objects) {
    const configuration current = build(make_example_objects(20, 10));
    EXPECT_EQ(current.find_workspace_by_key(example_digest(7))->name, "workspace-7");
    EXPECT_EQ(current.find_workspace_by_key(example_digest(20)), nullptr);
    EXPECT_EQ(current.find_workspace("workspace-19")->weight, 1.5);
    EXPECT_EQ(current.find_workspace("workspace"), nullptr);
    EXPECT_EQ(current.at(current.find_endpoint("endpoint-4")).rank, 4U);
    EXPECT_FALSE(current.find_endpoint("endpoint-99").is_valid());
    EXPECT_TRUE(current.is_served(endpoint_kind::model, "design-llm"));
    EXPECT_FALSE(current.is_served(endpoint_kind::service, "design-llm"));
    EXPECT_TRUE(configuration{}.reachable("a", "b", endpoint_kind::model, "c").empty());
}

// Guards against a stale cached endpoint list after a label change drains an endpoint or moves a workspace.
TEST(configuration_test, relabelling_changes_what_is_reachable) {
    const configuration first = build(make_example_objects(20, 10));
    EXPECT_EQ(drafts_of(first, "workspace-0").size(), 5U);
    EXPECT_FALSE(first.may_reach("workspace-0", "drafts", "endpoint-1"));
    const result<configuration> moved =
        first.apply({2, {"c1", {label_patch(object_kind::workspace, "workspace-0", "size", "large", "small")}}});
    ASSERT_TRUE(moved) << moved.last_error().reason;
    EXPECT_TRUE(moved->may_reach("workspace-0", "drafts", "endpoint-1"));
    EXPECT_EQ(drafts_of(*moved, "workspace-0"), drafts_of(first, "workspace-1"));
    const result<configuration> drained =
        moved->apply({3, {"c2", {label_patch(object_kind::endpoint, "endpoint-1", "state", std::nullopt, "drained")}}});
    ASSERT_TRUE(drained);
    EXPECT_FALSE(drained->may_reach("workspace-0", "drafts", "endpoint-1"));
    EXPECT_EQ(drafts_of(*drained, "workspace-0").size(), 4U);
    EXPECT_EQ(drafts_of(first, "workspace-0").size(), 5U);
    const std::vector<reach_explanation> lines = drained->explain("workspace-0", "drafts");
    EXPECT_EQ(lines[1],
              (reach_explanation{"endpoint-1", false, "selector small: endpoint needs state!=drained, has drained"}));
    EXPECT_EQ(lines[3], (reach_explanation{"endpoint-3", true, "selector small"}));
}

// Guards against lost updates between operators, and against conflicts between changes that do not overlap.
RC_GTEST_PROP(configuration_property, racing_patches_conflict_only_on_the_same_label, (bool is_same)) {
    const configuration current = build(make_example_objects(4, 4));
    const std::string value = *rc::gen::element<std::string>("x", "y", "z");
    const auto first_patch = label_patch(object_kind::endpoint, "endpoint-1", "a", std::nullopt, value);
    const auto second_patch =
        label_patch(object_kind::endpoint, "endpoint-1", is_same ? "a" : "b", std::nullopt, value);
    const result<configuration> first = current.apply({2, {"c1", {first_patch}}});
    RC_ASSERT(first.has_value());
    const result<configuration> second = first->apply({3, {"c2", {second_patch}}});
    RC_ASSERT(second.has_value() == !is_same);
    if (is_same) {
        RC_ASSERT(second.last_error().kind == error_kind::conflict);
        RC_ASSERT(second.last_error().reason.find("endpoint endpoint-1 label.a") == 0);
    } else {
        RC_ASSERT(second->objects().at({object_kind::endpoint, "endpoint-1"}).values.at("label.a") == value);
    }
}

/// Generated label: object, key and value are small numbers, so that the generated maps overlap.
using generated_label = std::tuple<int, int, int>;

object_map random_objects() {
    const auto labels = *rc::gen::container<std::vector<generated_label>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)));
    object_map objects;
    for (const auto& [name, key, value] : labels) {
        object_fields& fields = objects[{object_kind::application, "a" + std::to_string(name)}];
        if (key > 0) {
            fields.values["label.k" + std::to_string(key)] = std::to_string(value);
        } else if (value > 0) {
            fields.values["priority"] = value == 1 ? "low" : "high";
        }
    }
    return objects;
}

RC_GTEST_PROP(configuration_property, applied_diff_gives_the_declared_objects, ()) {
    const object_map before = random_objects();
    const object_map declared = random_objects();
    const configuration current = build(before);
    const result<configuration> pruned = current.apply({2, {"c", diff_objects(before, declared, true)}});
    RC_ASSERT(pruned.has_value());
    RC_ASSERT(pruned->objects() == declared);
    const result<configuration> unpruned = current.apply({2, {"c", diff_objects(before, declared, false)}});
    RC_ASSERT(unpruned.has_value());
    object_map merged = declared;
    merged.insert(before.begin(), before.end());
    RC_ASSERT(unpruned->objects() == merged);
    RC_ASSERT(diff_objects(unpruned->objects(), declared, false).empty());
    RC_ASSERT(*configuration::build(2, merged) == *unpruned);
}

// Guards against a snapshot that shares objects with an earlier snapshot and misses a change, or contains a later
// change. The number of changes exceeds the limit after which the shared objects are copied.
RC_GTEST_PROP(configuration_property, shared_objects_stay_correct_over_many_changes, ()) {
    object_map model = make_example_objects(8, 200);
    configuration current = build(model);
    const std::vector<std::uint8_t> choices =
        *rc::gen::container<std::vector<std::uint8_t>>(400, rc::gen::inRange<std::uint8_t>(0, 200));
    std::vector<configuration> snapshots;
    std::vector<object_map> expected_objects;
    const object_map all = model;
    for (const std::uint8_t choice : choices) {
        const object_key key{object_kind::endpoint, "endpoint-" + std::to_string(choice)};
        object_map before;
        object_map after;
        if (model.contains(key)) {
            before[key] = model.at(key);
        }
        if (before.empty()) {
            after[key] = all.at(key);
        } else if (choice % 3 != 0) {
            after = before;
            std::string& pool = after[key].values["label.pool"];
            pool = pool == "large" ? "small" : "large";
        }
        const result<configuration> next =
            current.apply({current.version() + 1, {"c", diff_objects(before, after, true)}});
        RC_ASSERT(next.has_value());
        current = *next;
        model.erase(key);
        model.merge(after);
        if (choice < 4) {
            RC_ASSERT(current.objects() == model);
            snapshots.push_back(current);
            expected_objects.push_back(model);
        }
    }
    RC_ASSERT(current.objects() == model);
    const configuration rebuilt = *configuration::build(current.version(), model);
    RC_ASSERT(current.endpoints() == rebuilt.endpoints());
    RC_ASSERT(drafts_of(current, "workspace-0") == drafts_of(rebuilt, "workspace-0"));
    RC_ASSERT(drafts_of(current, "workspace-1") == drafts_of(rebuilt, "workspace-1"));
    for (std::size_t i = 0; i < snapshots.size(); ++i) {
        RC_ASSERT(snapshots[i].objects() == expected_objects[i]);
    }
}

// Guards against accepting a change after which declarations are invalid or contradict each other.
TEST(configuration_test, refuses_invalid_changes) {
    const configuration current = build(make_example_objects(4, 4));
    const object_key first{object_kind::workspace, "workspace-0"};
    const auto same_key = current.apply({2, {"c", {{first, "key_sha256", example_digest(0), example_digest(1)}}}});
    ASSERT_FALSE(same_key);
    EXPECT_EQ(same_key.last_error().kind, error_kind::invalid_declaration);
    EXPECT_THAT(same_key.last_error().reason, HasSubstr("key_sha256"));
    EXPECT_FALSE(current.apply({2, {"c", {{first, "weight", "1.5", "heavy"}}}}));
    EXPECT_FALSE(current.apply({2, {"c", {{first, "weight", "1.5", std::nullopt}, {first, "", std::nullopt, ""}}}}));
    EXPECT_FALSE(current.apply({3, {"c", {{first, "weight", "1.5", "2"}}}}));
    EXPECT_TRUE(current.apply({2, {"c", {{first, "weight", "1.5", "2"}}}}));
    EXPECT_EQ(current.find_workspace("workspace-0")->weight, 1.5);
}

// Guards the memory limit of an entry (64 MB for the whole process) at the object counts of the design page.
TEST(configuration_test, snapshot_stays_below_its_memory_bound) {
    const std::size_t before = mallinfo2().uordblks;
    const configuration current = build(make_example_objects(15000, 1400));
    const std::size_t used = mallinfo2().uordblks - before;
    RecordProperty("snapshot_bytes", std::to_string(used));
    EXPECT_LT(used, 30 * megabyte);
    EXPECT_EQ(drafts_of(current, "workspace-8").size(), 700U);
    // During a change an entry holds the current and the next snapshot.
    const auto next =
        current.apply({2, {"c", {label_patch(object_kind::endpoint, "endpoint-1", "a", std::nullopt, "b")}}});
    const std::size_t used_by_two = mallinfo2().uordblks - before;
    RecordProperty("two_snapshots_bytes", std::to_string(used_by_two));
    ASSERT_TRUE(next);
    EXPECT_LT(used_by_two, 30 * megabyte);
}

// Guards against "forbidden" for requests that do not name an application although a selector matches all applications.
TEST(configuration_test, undeclared_default_application_has_no_labels) {
    object_map objects;
    objects[{object_kind::workspace, "team"}].values = {{"key_sha256", std::string(64, 'a')}};
    objects[{object_kind::endpoint, "writer"}].values = {
        {"kind", "model"}, {"agent", "127.0.0.1:7000"}, {"serves", "writer"}};
    objects[{object_kind::selector, "all"}].values = {{"workspaces", "*"}, {"applications", "*"}, {"endpoints", "*"}};
    const result<configuration> all = configuration::build(1, objects);
    ASSERT_TRUE(all) << all.last_error().reason;
    EXPECT_TRUE(all->may_reach("team", "default", "writer"));
    EXPECT_EQ(all->reachable("team", "default", endpoint_kind::model, "writer").size(), 1U);
    EXPECT_FALSE(all->may_reach("team", "other", "writer"));
    objects[{object_kind::selector, "all"}].values["applications"] = "class=draft";
    EXPECT_FALSE(configuration::build(1, objects)->may_reach("team", "default", "writer"));
}

} // namespace
} // namespace pomelohoist
