#include "direct_fixture.h"
#include "spread_fixture.h"

#include "direct/direct_request.h"

#include <gtest/gtest.h>

/// Tests of declarations with an empty list of workspaces, and of those without a list.
namespace pomelohoist {
namespace {

using test_support::full_response_to;
using test_support::scripted_endpoint;
using test_support::scripted_response;

scripted_response respond(const std::string& request, std::size_t /*number*/) {
    return {full_response_to(request, 200, "x")};
}

routing_content with_workspaces(std::uint64_t version, std::vector<workspace_keys> workspaces) {
    routing_content content = test_routing(version);
    content.workspaces = std::move(workspaces);
    content.routes.push_back(test_route("/public/", retry_policy::safe, 2));
    content.routes.back().is_public = true;
    return content;
}

routing_content without_list(std::uint64_t version) {
    routing_content content = routing_with_version(version);
    content.routes = test_routing(version).routes;
    content.services = test_routing(version).services;
    return content;
}

raw_request request_with(std::vector<inner::header_field> headers) {
    headers.push_back({"Host", "h.example"});
    return {"GET", "/safe/x", std::move(headers), ""};
}

// Guards against requests that run without a valid key after the last workspace was removed.
TEST(workspace_list_test, an_empty_list_lets_only_requests_of_public_routes_run) {
    scripted_endpoint endpoint{respond};
    direct_entry entry{{endpoint.address()}};
    ASSERT_EQ(entry.call("GET", "/safe/x").status, 200);
    entry.state.apply_routing(with_workspaces(7, {}));
    for (const char* key : {"key-1", "unknown", ""}) {
        EXPECT_EQ(entry.call("GET", "/safe/x", "", {{"X-Api-Key", key}}).status, 401) << key;
        EXPECT_EQ(entry.call("POST", "/unsafe/x", "p", {{"X-Api-Key", key}}).status, 401) << key;
    }
    EXPECT_EQ(endpoint.requests().size(), 1U);
    EXPECT_EQ(entry.call("GET", "/public/x").status, 200);
}

// Guards against refusing all requests of a deployment that declares no workspaces.
TEST(workspace_list_test, without_a_list_requests_need_no_key) {
    scripted_endpoint endpoint{respond};
    direct_entry entry{{endpoint.address()}};
    entry.state.apply_routing(without_list(7));
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
}

// Guards against an entry that receives the declaration from a peer and takes its empty list for a missing one.
TEST(workspace_list_test, a_peer_receives_whether_there_is_a_list) {
    fake_store store;
    fake_store refusing;
    refusing.is_down = true;
    node reader{"entry-1", store};
    reader.start();
    node refused{"entry-2", refusing, true, {reader.own.address}};
    refused.start();
    ASSERT_TRUE(eventually([&] { return refused.routing() == 1; }));
    EXPECT_FALSE(refused.state.current().routing->has_workspaces());
    store.declare(with_workspaces(2, {}));
    ASSERT_TRUE(eventually([&] { return refused.routing() == 2; }));
    EXPECT_TRUE(refused.state.current().routing->has_workspaces());
    store.declare(without_list(3));
    ASSERT_TRUE(eventually([&] { return refused.routing() == 3; }));
    EXPECT_FALSE(refused.state.current().routing->has_workspaces());
}

// Guards against requests that run without a key because a workspace holds an empty one.
TEST(workspace_list_test, an_empty_key_belongs_to_no_workspace) {
    system_clock time;
    structured_log log = make_null_log();
    routing_state state{time, log};
    const header_names names = platform::make_header_names();
    const request_resolver resolver{names, state};
    state.apply_routing(with_workspaces(1, {{"w", {"", "key-1"}, std::nullopt}}));
    state.apply_endpoints({1, {}});
    const auto resolve = [&](const raw_request& raw) { return resolver.resolve(raw, time.now(), 0); };
    const raw_request keyless = request_with({});
    const raw_request empty = request_with({{"X-Api-Key", ""}});
    const raw_request keyed = request_with({{"X-Api-Key", "key-1"}});
    for (const raw_request* raw : {&keyless, &empty}) {
        const result<direct_request> resolved = resolve(*raw);
        ASSERT_FALSE(resolved);
        EXPECT_EQ(resolved.last_error().kind, error_kind::unauthorized);
    }
    EXPECT_TRUE(resolve(keyed));
}

// Guards against a request whose workspace depends on which of two keys a reader takes.
TEST(workspace_list_test, a_request_with_two_keys_is_refused) {
    system_clock time;
    structured_log log = make_null_log();
    routing_state state{time, log};
    const header_names names = platform::make_header_names();
    const request_resolver resolver{names, state};
    state.apply_routing(with_workspaces(1, {{"w", {"key-1"}, std::nullopt}, {"v", {"key-2"}, std::nullopt}}));
    state.apply_endpoints({1, {}});
    const raw_request raw = request_with({{"X-Api-Key", "key-1"}, {"x-api-key", "key-2"}});
    const result<direct_request> resolved = resolver.resolve(raw, time.now(), 0);
    ASSERT_FALSE(resolved);
    EXPECT_EQ(resolved.last_error().kind, error_kind::unauthorized);
}

// Guards against an endpoint that takes a request for one without a workspace because its workspace has an empty name.
TEST(workspace_list_test, an_empty_name_is_sent_to_the_endpoint) {
    scripted_endpoint endpoint{respond};
    direct_entry entry{{endpoint.address()}};
    entry.state.apply_routing(with_workspaces(7, {{"", {"key-1"}, std::nullopt}}));
    ASSERT_EQ(entry.call("GET", "/safe/x").status, 200);
    EXPECT_NE(endpoint.requests().back().find("X-Pomelohoist-Tenant: \r\n"), std::string::npos);
    ASSERT_EQ(entry.call("GET", "/public/x").status, 200);
    EXPECT_EQ(endpoint.requests().back().find("X-Pomelohoist-Tenant"), std::string::npos);
}

} // namespace
} // namespace pomelohoist
