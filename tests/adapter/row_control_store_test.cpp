#include "row_client.h"
#include "row_control_store.h"
#include "row_platform.h"

#include "support/row_store.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <unistd.h>

/// Tests of the control store that uses the tables of the platform's store.
namespace pomelohoist::platform {
namespace {

using test_support::row_store;
using test_support::store_behaviour;

constexpr const char* registration =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":12,"state":"ready","seq":4})";

class row_control_store_test : public testing::Test {
  protected:
    row_store platform;
    const system_clock time{};
    structured_log log{make_null_log()};
    row_control_store store{this->platform.address(), this->time, this->log};
};

// Guards against registrations that are missed when the table spans several pages.
TEST_F(row_control_store_test, reads_all_pages) {
    for (int i = 0; i < 10; ++i) {
        this->platform.put("servers", "i-" + std::to_string(i), registration);
    }
    const auto snapshot = this->store.read_endpoints();
    ASSERT_TRUE(snapshot) << snapshot.last_error().reason;
    EXPECT_EQ(snapshot->endpoints.size(), 10U);
    EXPECT_EQ(snapshot->endpoints.front().address.to_string(), "10.0.0.9:80");
    EXPECT_EQ(snapshot->endpoints.front().slots, 12U);
}

// Guards against changes that are lost between a read and the watch that continues from it.
TEST_F(row_control_store_test, watches_changes_from_a_read) {
    this->platform.put("servers", "a", registration);
    const auto snapshot = this->store.read_endpoints();
    this->platform.put("servers", "b", registration);
    this->platform.remove("servers", "a");
    const auto changes = this->store.watch_endpoints(snapshot->revision);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->changes.size(), 2U);
    EXPECT_FALSE(changes->changes[0].record);
    EXPECT_TRUE(changes->changes[1].record);
    EXPECT_GT(changes->revision, snapshot->revision);
}

// Guards against using an invalid registration, and against one that hides the valid ones.
TEST_F(row_control_store_test, skips_unusable_registrations) {
    this->platform.put("servers", "good", registration);
    this->platform.put("servers", "bytes", "\xff\xfe{");
    this->platform.put("servers", "types",
                       R"({"service":1,"address":"10.0.0.9:80","zone":"z","slots":1,"state":"ready"})");
    this->platform.put("servers", "state",
                       R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"state":"odd"})");
    this->platform.put("servers", "less", R"({"service":"s"})");
    this->platform.put("servers", "slots",
                       R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":-1,"state":"ready"})");
    const auto snapshot = this->store.read_endpoints();
    ASSERT_TRUE(snapshot);
    ASSERT_EQ(snapshot->endpoints.size(), 1U);
    EXPECT_EQ(snapshot->endpoints.front().instance, "good");
}

// Guards against an invalid declaration that replaces the last valid one.
TEST_F(row_control_store_test, an_unusable_declaration_changes_nothing) {
    this->platform.put("op", "config", R"({"version":7,"routes":"none"})");
    const auto change = this->store.read_routing();
    ASSERT_TRUE(change);
    EXPECT_FALSE(change->content);
    this->platform.put(
        "op", "config",
        R"({"version":9,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming",)"
        R"("timeout_ms":8000,"goal_ms":400,"priority":1,"attempts":2,"can_resume":true,)"
        R"("split":[{"service":"a","weight":90},{"service":"b","weight":10}]}],)"
        R"("services":[{"name":"a","max_conns":5,"engine":{"sets":6,"experts":64,"places":11,"spare":4}}],)"
        R"("tenants":[{"name":"t","api_keys":["k"],"priority":0}],"limits":{"body_bytes":100}})");
    const auto next = this->store.watch_routing(change->revision, std::chrono::milliseconds{100});
    ASSERT_TRUE(next);
    ASSERT_TRUE(next->content);
    EXPECT_EQ(next->content->version, 9U);
    EXPECT_EQ(next->content->routes.front().retry, retry_policy::stream);
    EXPECT_EQ(next->content->routes.front().targets.size(), 2U);
    EXPECT_EQ(next->content->services.front().experts->max_new, 4U);
    EXPECT_EQ(next->content->workspaces->front().importance, 0U);
    EXPECT_EQ(next->content->limits.body_bytes, 100U);
}

// Guards against an empty list of workspaces that is read as none: all requests would run without a key.
TEST_F(row_control_store_test, a_list_of_workspaces_may_be_empty_or_absent) {
    this->platform.put("op", "config", R"({"version":3,"routes":[],"services":[],"tenants":[]})");
    const auto empty = this->store.read_routing();
    ASSERT_TRUE(empty && empty->content);
    EXPECT_TRUE(routing_table{*empty->content}.has_workspaces());
    this->platform.put("op", "config", R"({"version":4,"routes":[],"services":[]})");
    const auto absent = this->store.read_routing();
    ASSERT_TRUE(absent && absent->content);
    EXPECT_FALSE(routing_table{*absent->content}.has_workspaces());
}

// Guards against requests that run without a key because the list of workspaces, or of their keys, cannot be read.
TEST_F(row_control_store_test, a_malformed_list_of_workspaces_makes_the_declaration_unusable) {
    for (const char* tenants : {"null", "{}", R"({"t":{"name":"t","api_keys":["k"]}})", R"("t")", "false", "0",
                                "[null]", R"(["t"])", R"([{"api_keys":["k"]}])", R"([{"name":"t","api_keys":null}])",
                                R"([{"name":"t","api_keys":"k"}])", R"([{"name":"t","api_keys":[1]}])"}) {
        this->platform.put("op", "config",
                           R"({"version":3,"routes":[],"services":[],"tenants":)" + std::string{tenants} + "}");
        const auto change = this->store.read_routing();
        ASSERT_TRUE(change);
        EXPECT_FALSE(change->content) << tenants;
    }
}

// Guards against a route that is taken for public, or for one without a split, because its field cannot be read.
TEST_F(row_control_store_test, a_malformed_field_of_a_route_makes_the_declaration_unusable) {
    for (const char* field : {R"("public":null)", R"("public":0)", R"("public":"")", R"("can_resume":null)",
                              R"("split":null)", R"("split":{})"}) {
        this->platform.put("op", "config",
                           R"({"version":3,"routes":[{"host":"h","prefix":"/p/","kind":"safe","timeout_ms":8000,)"
                           R"("service":"s",)" +
                               std::string{field} + R"(}],"services":[]})");
        const auto change = this->store.read_routing();
        ASSERT_TRUE(change);
        EXPECT_FALSE(change->content) << field;
    }
}

// Guards against capacity that is calculated from a wrong speed of the engine, and against a declaration without one.
TEST_F(row_control_store_test, the_speed_of_an_engine_is_read) {
    this->platform.put("op", "config",
                       R"({"version":3,"routes":[],"services":[{"name":"a","engine":{"step_ms":4.5,"per_seq_ms":0.4,)"
                       R"("read_per_s":70000.0,"chunk":512,"stride":7}},{"name":"b"}]})");
    const auto change = this->store.read_routing();
    ASSERT_TRUE(change && change->content);
    EXPECT_EQ(change->content->services.at(0).engine, (engine_speed{4.5, 0.4, 70000.0, 512, 7}));
    EXPECT_EQ(change->content->services.at(1).engine, std::nullopt);
}

// Guards against cold endpoints that are not recognized, and against a new version of the endpoint list whenever the
// remaining time in a registration changes.
TEST_F(row_control_store_test, reads_cold_endpoints) {
    std::string cold{registration};
    cold.insert(cold.size() - 1, R"(,"cold_left_ms":2500)");
    this->platform.put("servers", "warm", registration);
    this->platform.put("servers", "cold", cold);
    const auto snapshot = this->store.read_endpoints();
    ASSERT_TRUE(snapshot);
    ASSERT_EQ(snapshot->endpoints.size(), 2U);
    ASSERT_EQ(snapshot->cold.size(), 1U);
    EXPECT_EQ(snapshot->cold.front().endpoint.instance, "cold");
    EXPECT_EQ(snapshot->cold.front().left, std::chrono::milliseconds{2500});
    cold.replace(cold.find("2500"), 4, "1500");
    this->platform.put("servers", "cold", cold);
    const auto changes = this->store.watch_endpoints(snapshot->revision);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->changes.size(), 1U);
    EXPECT_EQ(changes->changes.front().record, snapshot->cold.front().endpoint);
    ASSERT_EQ(changes->cold.size(), 1U);
    EXPECT_EQ(changes->cold.front().left, std::chrono::milliseconds{1500});
}

// Guards against evacuations that are not read, or that stay in force after their row has been removed, with and
// without a declaration in the store.
TEST_F(row_control_store_test, reads_evacuations) {
    using changes = std::vector<evacuation_change>;
    this->platform.put("op", "evacuate/z-1", "{}");
    const auto read = this->store.read_routing();
    ASSERT_TRUE(read);
    EXPECT_FALSE(read->content);
    EXPECT_EQ(read->evacuations, (changes{{"z-1", true}}));
    this->platform.put("op", "evacuate/z-2", "{}");
    this->platform.remove("op", "evacuate/z-1");
    const auto watched = this->store.watch_routing(read->revision, std::chrono::milliseconds{100});
    ASSERT_TRUE(watched);
    // The stand-in reports changes by key, and the platform by version.
    changes in_order = watched->evacuations;
    std::sort(in_order.begin(), in_order.end(),
              [](const auto& left, const auto& right) { return left.data_centre < right.data_centre; });
    EXPECT_EQ(in_order, (changes{{"z-1", false}, {"z-2", true}}));
    this->platform.put("op", "config", R"({"version":9,"routes":[],"services":[]})");
    const auto full = this->store.read_routing();
    ASSERT_TRUE(full);
    EXPECT_TRUE(full->content);
    EXPECT_EQ(full->evacuations, (changes{{"z-2", true}}));
}

// Guards against reading an outage of the store as an empty table.
TEST_F(row_control_store_test, an_outage_is_an_error) {
    this->platform.put("servers", "a", registration);
    for (const store_behaviour behaviour :
         {store_behaviour::busy, store_behaviour::rate_limits, store_behaviour::resets,
          store_behaviour::loses_responses, store_behaviour::truncates}) {
        this->platform.set_behaviour(behaviour);
        const auto snapshot = this->store.read_endpoints();
        ASSERT_FALSE(snapshot) << static_cast<int>(behaviour);
        EXPECT_EQ(snapshot.last_error().kind, error_kind::store_unavailable);
        this->platform.set_behaviour(store_behaviour::serves);
        EXPECT_TRUE(this->store.read_endpoints()) << "after behaviour " << static_cast<int>(behaviour);
    }
}

// Guards against watching from a revision that the store has compacted: later changes would be missed.
TEST_F(row_control_store_test, a_dropped_history_is_stale_configuration) {
    const auto snapshot = this->store.read_endpoints();
    this->platform.drop_history();
    const auto changes = this->store.watch_endpoints(snapshot->revision);
    ASSERT_FALSE(changes);
    EXPECT_EQ(changes.last_error().kind, error_kind::stale_configuration);
}

// Guards against watching from a revision that the store has given out again since: changes would be missed.
TEST_F(row_control_store_test, a_revision_of_before_a_restore_is_stale_configuration) {
    const auto copy = this->platform.copy();
    this->platform.put("servers", "a", registration);
    const auto endpoints = this->store.read_endpoints();
    const auto routing = this->store.read_routing();
    ASSERT_TRUE(endpoints && routing);
    this->platform.restore(*copy);
    this->platform.put("servers", "b", registration);
    this->platform.put("servers", "c", registration);
    const auto changes = this->store.watch_endpoints(endpoints->revision);
    ASSERT_FALSE(changes);
    EXPECT_EQ(changes.last_error().kind, error_kind::stale_configuration);
    const auto change = this->store.watch_routing(routing->revision, std::chrono::milliseconds{0});
    ASSERT_FALSE(change);
    EXPECT_EQ(change.last_error().kind, error_kind::stale_configuration);
    const auto snapshot = this->store.read_endpoints();
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot->endpoints.size(), 2U);
    EXPECT_GT(snapshot->revision, endpoints->revision);
}

// Guards against a coordinator whose fencing token is lower than an earlier one because the store was restored.
TEST_F(row_control_store_test, a_fencing_token_is_higher_than_those_of_before_a_restore) {
    const std::filesystem::path file = std::filesystem::temp_directory_path() / ("fences-" + std::to_string(getpid()));
    std::ofstream{file} << "[platform]\naddress=" << this->platform.address().to_string() << "\n";
    row_platform connector{this->time};
    const auto settings_read = settings::load(file, connector.schema());
    ASSERT_TRUE(settings_read) << settings_read.last_error().reason;
    const auto copy = this->platform.copy();
    const auto first = connector.acquire_fencing_token(*settings_read, "g", "a");
    const auto second = connector.acquire_fencing_token(*settings_read, "g", "b");
    this->platform.restore(*copy);
    const auto third = connector.acquire_fencing_token(*settings_read, "g", "c");
    ASSERT_TRUE(first && second && third);
    EXPECT_LT(*first, *second);
    EXPECT_LT(*second, *third);
    std::filesystem::remove(file);
}

// Guards against reading the old address of a peer that has registered a new address, and against returning invalid
// peer rows.
TEST_F(row_control_store_test, peers_find_each_other) {
    ASSERT_TRUE(this->store.register_peer({"n1", {"10.0.0.1", 7340}}));
    ASSERT_TRUE(this->store.register_peer({"n1", {"10.0.0.2", 7340}}));
    this->platform.put("peers", "odd", "nothing");
    const auto peers = this->store.read_peers();
    ASSERT_TRUE(peers);
    ASSERT_EQ(peers->size(), 1U);
    EXPECT_EQ(peers->front().address.ip, "10.0.0.2");
}

// Guards against two coordinators with the same fencing token.
TEST_F(row_control_store_test, each_write_has_a_higher_version) {
    row_client client{this->platform.address(), this->time};
    const auto first = client.write_row("fences", "g", "a");
    const auto second = client.write_row("fences", "g", "b");
    ASSERT_TRUE(first && second);
    EXPECT_LT(*first, *second);
}

} // namespace
} // namespace pomelohoist::platform
