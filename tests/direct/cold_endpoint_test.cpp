#include "direct/endpoint_statements.h"
#include "direct_fixture.h"
#include "placement/cold_start_limit.h"
#include "spread_fixture.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

/// Tests of the limit of requests to cold endpoints.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::scripted_endpoint;
using test_support::scripted_response;

constexpr cold_bound bound{1.5, 5.0};
constexpr std::uint64_t cold_endpoint_key = 7;

/// Entries that offer as many requests as an endpoint takes, without any exchange between them.
class cold_herd {
  public:
    explicit cold_herd(std::uint32_t entry_count) {
        for (std::uint32_t i = 0; i < entry_count; ++i) {
            this->entries.push_back(std::make_unique<cold_start_limit>(bound, this->time));
        }
    }

    /// @returns the most requests that all entries together have sent in any second
    std::size_t most_in_one_second(const cold_rate& rate, std::chrono::milliseconds duration) {
        std::deque<steady_time> sent;
        std::size_t most = 0;
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += 1ms) {
            const steady_time now = this->time.now();
            while (!sent.empty() && now - sent.front() >= 1s) {
                sent.pop_front();
            }
            for (const auto& entry : this->entries) {
                while (entry->has_room(cold_endpoint_key, rate, 0ms, static_cast<std::uint32_t>(entries.size()))) {
                    entry->record_request(cold_endpoint_key);
                    sent.push_back(now);
                }
            }
            most = std::max(most, sent.size());
            this->time.advance(1ms);
        }
        return most;
    }

    manual_clock time;

  private:
    std::vector<std::unique_ptr<cold_start_limit>> entries;
};

// Guards against a herd of requests that crashes an endpoint which has just started: the sum over all entries has to
// stay within the bound in each second, for each number of entries up to the bound, without any message between them.
TEST(cold_start_limit_test, a_herd_stays_within_the_bound_in_each_second) {
    for (const double per_s : {10.0, 34.0, 120.0}) {
        const double allowed = per_s * bound.excess + bound.slack;
        for (std::uint32_t entries = 1; entries <= 40 && entries <= allowed; ++entries) {
            cold_herd herd{entries};
            const std::size_t most = herd.most_in_one_second({4s, per_s}, 4s);
            EXPECT_LE(static_cast<double>(most), allowed) << entries << " entries, " << per_s << " per second";
            EXPECT_GE(most, 1U);
        }
    }
}

// Guards against an endpoint that is held back longer than it is cold, and against one that is not limited when it
// states later that it is cold again.
TEST(cold_start_limit_test, only_cold_endpoints_are_limited) {
    const cold_rate rate{3s, 34.0};
    manual_clock time;
    cold_start_limit limit{bound, time};
    ASSERT_TRUE(limit.has_room(1, rate, 0ms, 24));
    limit.record_request(1);
    EXPECT_FALSE(limit.has_room(1, rate, 0ms, 24)) << "a new endpoint is cold";
    EXPECT_TRUE(limit.has_room(2, rate, 0ms, 24)) << "another endpoint has its own limit";
    time.advance(3s);
    limit.record_request(1);
    EXPECT_TRUE(limit.has_room(1, rate, 0ms, 24));
    EXPECT_FALSE(limit.has_room(1, rate, 500ms, 24)) << "it states that it is cold again";
    limit.forget(1);
    ASSERT_TRUE(limit.has_room(1, rate, 0ms, 24));
    limit.record_request(1);
    EXPECT_FALSE(limit.has_room(1, rate, 0ms, 24)) << "its data centre was evacuated";
}

// Guards against limiting endpoints in deployments and services that state no rate.
TEST(cold_start_limit_test, no_limit_without_a_rate_or_a_bound) {
    manual_clock time;
    cold_start_limit without_bound{{}, time};
    cold_start_limit limit{bound, time};
    for (int i = 0; i < 100; ++i) {
        EXPECT_TRUE(without_bound.has_room(1, {3s, 34.0}, 1s, 24));
        EXPECT_TRUE(limit.has_room(1, {3s, 0.0}, 1s, 24));
        without_bound.record_request(1);
        limit.record_request(1);
    }
}

// Guards against a larger share for an entry that cannot reach the others: it must still count them, and also those
// that it knows by name or address only.
TEST(cold_entries_test, an_entry_that_is_cut_off_still_counts_the_others) {
    fake_store store;
    node first{"entry-1", store, true, {{"127.0.0.1", node::free_port()}}};
    auto second = std::make_unique<node>("entry-2", store);
    node rank{"rank-1", store, false};
    first.start();
    second->start();
    ASSERT_TRUE(eventually([&] { return first.link.rank_among_live() == 0 && second->link.rank_among_live() == 1; }));
    rank.start();
    EXPECT_TRUE(eventually([&] { return first.link.possible_entries() == 3; })) << "itself, the other, the seed";
    first.link.add_peers({{"entry-3", {"127.0.0.1", node::free_port()}}});
    second.reset();
    std::this_thread::sleep_for(config::peer_update_timeout + 200ms);
    EXPECT_EQ(first.link.possible_entries(), 4U);
}

// Guards against entries that do not read the store and therefore do not learn that an endpoint is cold again.
TEST(cold_entries_test, entries_receive_what_one_has_read) {
    fake_store store;
    node first{"entry-1", store};
    node second{"entry-2", store};
    first.start();
    second.start();
    ASSERT_TRUE(eventually([&] { return second.tracker.entries() == 2; }));
    const endpoint_record endpoint = record("a");
    first.statements.record_cold(endpoint, 1500ms);
    first.link.send_update();
    EXPECT_TRUE(eventually([&] { return second.statements.availability_of(endpoint).cold_left > 0ms; }));
    EXPECT_LE(second.statements.availability_of(endpoint).cold_left, 1500ms);
    EXPECT_FALSE(second.statements.report_cold()) << "only what it has read itself";
    std::this_thread::sleep_for(1700ms);
    EXPECT_EQ(second.statements.availability_of(endpoint).cold_left, 0ms) << "the time ends in all entries";
    EXPECT_EQ(first.statements.count_cold(), 0U);
}

// Guards against a cold time that never ends: two entries that have both read it exchange it, and each message takes
// time.
TEST(cold_entries_test, handing_on_does_not_prolong_the_cold_time) {
    manual_clock time;
    time.advance(1h);
    structured_log log = make_null_log();
    endpoint_statements first{time, log};
    endpoint_statements second{time, log};
    const endpoint_record endpoint = record("a");
    constexpr std::chrono::milliseconds cold_time{2000};
    constexpr std::chrono::milliseconds delay{100}; // of each message
    for (endpoint_statements* each : {&first, &second}) {
        each->record_cold(endpoint, cold_time);
    }
    const steady_time end = time.now() + cold_time;
    while (time.now() < end + delay) {
        const auto to_second = first.report_cold();
        const auto to_first = second.report_cold();
        time.advance(delay);
        second.merge_cold(to_second);
        first.merge_cold(to_first);
    }
    EXPECT_EQ(first.count_cold(), 0U);
    EXPECT_EQ(second.count_cold(), 0U);
}

// Guards against a field of a response that is not read, not signed, or not a number.
TEST(cold_forwarding_test, a_response_states_that_the_endpoint_is_cold) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t number) {
        const std::string field = number == 0 ? "X-Pomelohoist-Cold-Ms: none\r\n" : "X-Pomelohoist-Cold-Ms: 3000\r\n";
        return scripted_response{test_support::full_response_to(request, 200, "x", field)};
    }};
    direct_entry entry{{endpoint.address()}};
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
    EXPECT_EQ(entry.statements.count_cold(), 0U);
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
    EXPECT_EQ(entry.statements.count_cold(), 1U);
}

// Guards against requests to a cold endpoint beyond this entry's share while another endpoint has capacity.
TEST(cold_forwarding_test, the_share_of_a_cold_endpoint_is_kept) {
    const auto respond = [](const std::string& request, std::size_t /*number*/) {
        return scripted_response{test_support::full_response_to(request, 200, "x")};
    };
    scripted_endpoint cold{respond};
    scripted_endpoint warm{respond};
    direct_entry entry{{cold.address(), warm.address()}};
    routing_content content = test_routing(4);
    content.services.front().cold_ms = 100;
    content.services.front().cold_per_s = 10.0;
    entry.state.apply_routing(content);
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
    std::this_thread::sleep_for(150ms);
    entry.statements.record_cold(entry.state.current().endpoints->endpoints.front(), 10s);
    const std::size_t before = cold.requests().size();
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 60; ++i) {
        EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
    }
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
    EXPECT_LE(static_cast<double>(cold.requests().size() - before), 10.0 * passed.count() + 1.0);
    EXPECT_GT(cold.requests().size(), before) << "it is used within its rate";
}

} // namespace
} // namespace pomelohoist
