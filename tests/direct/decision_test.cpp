#include "direct/endpoint_list.h"
#include "direct/event_tracker.h"
#include "direct/routing_table.h"
#include "http/chunk_decoder.h"
#include "placement/endpoint_choice.h"
#include "placement/load_tracker.h"
#include "placement/shared_retry_budget.h"

#include <gtest/gtest.h>

#include <map>

/// Unit tests of direct forwarding, without a network.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

route route_of(const std::string& host, const std::string& prefix) {
    route declared;
    declared.name = host + prefix;
    declared.host = host;
    declared.prefix = prefix;
    return declared;
}

// Guards against matching a shorter prefix, the route of another host, or a part of a path segment.
TEST(routing_table_test, selects_the_longest_prefix_of_the_host) {
    routing_content content;
    content.routes = {route_of("a", "/"), route_of("a", "/x/"), route_of("a", "/x/y/"), route_of("b", "/x/y/z/")};
    const routing_table table{content};
    EXPECT_EQ(table.find_route("a", "/x/y/z/1")->name, "a/x/y/");
    EXPECT_EQ(table.find_route("a", "/x/yy/1")->name, "a/x/");
    EXPECT_EQ(table.find_route("a", "/x")->name, "a/");
    EXPECT_EQ(table.find_route("b", "/x/y/1"), nullptr);
    EXPECT_EQ(table.find_route("c", "/x/"), nullptr);
    EXPECT_EQ(table.find_route("a", "no-slash"), nullptr);
}

// Guards against a key that resolves to the wrong workspace, and an empty key that resolves to any workspace.
TEST(routing_table_test, finds_the_workspace_of_a_key) {
    routing_content content;
    content.workspaces = std::vector<workspace_keys>{{"w1", {"k1", "k3"}, std::nullopt}, {"w2", {"k2"}, 0}};
    const routing_table table{content};
    EXPECT_EQ(table.find_workspace("k3")->name, "w1");
    EXPECT_EQ(table.find_workspace("k2")->name, "w2");
    EXPECT_EQ(table.find_workspace("k"), nullptr);
    EXPECT_EQ(table.find_workspace(""), nullptr);
}

// Guards against requests to the registration of an earlier start: after a power loss all endpoints are registered
// twice until the old registrations expire, and half of the requests would be refused.
TEST(endpoint_list_test, a_later_start_at_an_address_replaces_the_earlier_one) {
    const net_address address{"10.0.0.1", 80};
    const endpoint_record old_start{"i-1", "s", address, "dc", 4, false, 1000};
    const endpoint_record new_start{"i-2", "s", address, "dc", 4, false, 2000};
    const endpoint_record unrelated{"i-3", "s", {"10.0.0.2", 80}, "dc", 4, false, 0};
    EXPECT_EQ(without_superseded({old_start, new_start, unrelated}),
              (std::vector<endpoint_record>{new_start, unrelated}));
    EXPECT_EQ(without_superseded({unrelated}), (std::vector<endpoint_record>{unrelated}));
}

// Guards against a truncated chunked body that is reported as complete. The test truncates the body at
// every length and feeds it byte by byte.
TEST(chunk_decoder_test, is_done_only_after_the_last_chunk) {
    const std::string coded = "5;ext=1\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: x\r\n\r\n";
    for (std::size_t length = 0; length < coded.size(); ++length) {
        chunk_decoder decoder;
        std::string input;
        std::string output;
        for (std::size_t i = 0; i < length; ++i) {
            input += coded[i];
            decoder.decode(input, output);
        }
        EXPECT_FALSE(decoder.is_done()) << length;
        input += coded.substr(length) + "next";
        decoder.decode(input, output);
        EXPECT_TRUE(decoder.is_done()) << length;
        EXPECT_EQ(output, "hello world");
        EXPECT_EQ(input, "next");
    }
}

// Guards against decoding bytes that are no valid chunks.
TEST(chunk_decoder_test, refuses_malformed_chunks) {
    for (const char* coded : {"x\r\n", "\r\n", "-1\r\n", "3\r\nabcd\r\n", "fffffffffffffffff\r\n"}) {
        chunk_decoder decoder;
        std::string input = coded;
        std::string output;
        decoder.decode(input, output);
        EXPECT_TRUE(decoder.is_malformed()) << coded;
    }
}

// Guards against herding: entries that place requests at the same moment must not all select the same endpoint.
TEST(endpoint_choice_test, spreads_over_the_least_loaded) {
    seeded_random random{3};
    const std::vector<endpoint_candidate> candidates{
        {0, 4, 12, 14, false, false, false}, {1, 4, 12, 14, false, false, false}, {2, 9, 12, 14, false, false, false}};
    std::map<std::size_t, int> choices;
    for (int i = 0; i < 200; ++i) {
        ++choices[*choose_endpoint(candidates, random).index];
    }
    EXPECT_EQ(choices.count(2), 0U);
    EXPECT_GT(choices[0], 50);
    EXPECT_GT(choices[1], 50);
}

// Guards against refusing a request while an endpoint has free capacity, selecting an endpoint that the request has
// tried, and waiting when no endpoint can get free capacity.
TEST(endpoint_choice_test, selects_endpoints_in_cooldown_last_and_tried_ones_never) {
    seeded_random random{3};
    const endpoint_candidate in_cooldown{0, 0, 12, 14, true, false, false};
    const endpoint_candidate full{1, 14, 12, 14, false, false, false};
    const endpoint_candidate tried{2, 0, 12, 14, false, true, false};
    EXPECT_EQ(choose_endpoint({in_cooldown, full, tried}, random).index, 0U);
    EXPECT_EQ(choose_endpoint({full, tried}, random), (endpoint_choice{std::nullopt, true, false}));
    EXPECT_EQ(choose_endpoint({tried}, random), (endpoint_choice{std::nullopt, false, false}));
    EXPECT_EQ(choose_endpoint({}, random), (endpoint_choice{std::nullopt, false, false}));
}

// Guards against sending requests to a broken group, and against refusing requests while the group is formed again.
TEST(endpoint_choice_test, waits_for_closed_groups_and_uses_open_ones) {
    seeded_random random{3};
    const endpoint_candidate closed{0, 0, 12, 14, false, false, true};
    const endpoint_candidate open{1, 13, 12, 14, true, false, false};
    const endpoint_candidate full{2, 14, 12, 14, false, false, false};
    EXPECT_EQ(choose_endpoint({closed, open}, random).index, 1U);
    EXPECT_EQ(choose_endpoint({closed}, random), (endpoint_choice{std::nullopt, true, true}));
    EXPECT_EQ(choose_endpoint({closed, full}, random), (endpoint_choice{std::nullopt, true, false}));
}

// Guards against counting the load of an entry that has stopped or become unreachable.
TEST(load_tracker_test, drops_the_load_of_unresponsive_entries) {
    manual_clock time;
    load_tracker tracker{time};
    const endpoint_digest endpoint = digest_of_instance("i-1");
    tracker.begin(endpoint);
    tracker.set_peer_load("p", {{endpoint, 3}, {digest_of_instance("i-2"), 9}});
    EXPECT_EQ(tracker.total(endpoint), 4U);
    EXPECT_EQ(tracker.entries(), 2U);
    tracker.set_peer_load("p", {{endpoint, 1}});
    EXPECT_EQ(tracker.total(endpoint), 2U);
    time.advance(5s);
    EXPECT_EQ(tracker.total(endpoint), 1U);
    EXPECT_EQ(tracker.entries(), 1U);
    tracker.end(endpoint);
    EXPECT_EQ(tracker.total(endpoint), 0U);
}

// Guards against retries that multiply an overload: all entries together stay within the deployment's limit.
TEST(shared_retry_budget_test, all_entries_together_stay_within_the_limit) {
    manual_clock time;
    const retry_limits limits{0.2, 188.0, 10000ms};
    constexpr std::uint32_t entries = 12;
    constexpr int requests_for_each = 50;
    std::vector<std::unique_ptr<shared_retry_budget>> budgets;
    int spent = 0;
    for (std::uint32_t i = 0; i < entries; ++i) {
        budgets.push_back(std::make_unique<shared_retry_budget>(limits, time));
        for (int k = 0; k < requests_for_each; ++k) {
            budgets.back()->record_request("s");
        }
        while (budgets.back()->try_spend("s", entries)) {
            ++spent;
        }
    }
    EXPECT_LE(spent, 0.2 * entries * requests_for_each + 188.0);
    EXPECT_GT(spent, 100);
    EXPECT_FALSE(budgets.front()->try_spend("s", entries));
    time.advance(11s);
    EXPECT_TRUE(budgets.front()->try_spend("s", entries));
}

// Guards against duplicate, out-of-order and incomplete events where two runs are joined to one stream.
TEST(event_tracker_test, forwards_complete_events_in_order) {
    event_tracker tracker{""};
    EXPECT_EQ(tracker.extract_events("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(tracker.last_id(), "1");
    EXPECT_EQ(tracker.incomplete_event(), "id: 2\nda");
    tracker.begin_run();
    EXPECT_EQ(tracker.extract_events("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(tracker.is_broken());
    EXPECT_EQ(tracker.extract_events("id: 2\ndata: b\n\n"), "");
    EXPECT_TRUE(tracker.is_broken());
    event_tracker resumed{"12"};
    EXPECT_EQ(resumed.extract_events("id: 12\ndata: l\n\n"), "");
    EXPECT_TRUE(resumed.is_broken());
    event_tracker sound{"12"};
    EXPECT_EQ(sound.extract_events("id: 13\ndata: m\n\n"), "id: 13\ndata: m\n\n");
    EXPECT_FALSE(sound.is_broken());
}

// Guards against events that are counted as forwarded and then lost, because a broken one arrives in the same read.
TEST(event_tracker_test, events_before_a_broken_one_are_forwarded) {
    for (const std::string broken : {"id: 1\ndata: a\n\n", "noise\n\n", "id: 3\ndata: \x01", "data: no id\n\n"}) {
        event_tracker tracker{""};
        EXPECT_EQ(tracker.extract_events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + broken),
                  "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        EXPECT_TRUE(tracker.is_broken()) << broken;
        EXPECT_EQ(tracker.last_id(), "2");
        EXPECT_EQ(tracker.forwarded_count(), 2U);
        EXPECT_EQ(tracker.extract_events("id: 3\ndata: c\n\n"), "") << broken;
    }
}

} // namespace
} // namespace pomelohoist
