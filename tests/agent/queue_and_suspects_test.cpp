#include "agent/fair_queue.h"
#include "agent/load_model.h"
#include "agent/peer_suspect_publisher.h"
#include "agent/suspect_list.h"

#include <gtest/gtest.h>

#include <map>

namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

bool always(const queue_item& /*item*/) {
    return true;
}

queue_item make_item(std::uint64_t number, const std::string& workspace, double weight, priority importance) {
    queue_item item;
    item.id = {1, number};
    item.workspace = workspace;
    item.weight = weight;
    item.importance = importance;
    item.work = 10ms;
    item.latest_start = steady_time{1000ms};
    return item;
}

// Guards against a workspace that gets more than its share while requests of other workspaces are queued.
TEST(fair_queue_test, shares_follow_weights) {
    const manual_clock time;
    fair_queue queue{time};
    for (std::uint64_t i = 0; i < 300; ++i) {
        queue.push(make_item(3 * i, "a", 1.0, priority::normal));
        queue.push(make_item(3 * i + 1, "b", 2.0, priority::normal));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 150; ++i) {
        ++served[queue.pop(always)->workspace];
    }
    EXPECT_NEAR(served["a"], 50, 2);
    EXPECT_NEAR(served["b"], 100, 2);
}

// Guards against an idle workspace that accumulates credit and then blocks other workspaces.
TEST(fair_queue_test, idle_workspaces_accumulate_no_credit) {
    const manual_clock time;
    fair_queue queue{time};
    for (std::uint64_t i = 0; i < 50; ++i) {
        queue.push(make_item(i, "a", 1.0, priority::normal));
        queue.pop(always);
    }
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.push(make_item(100 + i, "a", 1.0, priority::normal));
        queue.push(make_item(200 + i, "late", 1.0, priority::normal));
    }
    int late = 0;
    for (int i = 0; i < 10; ++i) {
        late += queue.pop(always)->workspace == "late" ? 1 : 0;
    }
    EXPECT_NEAR(late, 5, 1);
}

// Guards against low-priority requests that are served before high-priority ones.
TEST(fair_queue_test, higher_priority_is_served_first) {
    const manual_clock time;
    fair_queue queue{time};
    queue.push(make_item(1, "a", 1.0, priority::low));
    queue.push(make_item(2, "a", 1.0, priority::high));
    queue.push(make_item(3, "a", 1.0, priority::normal));
    EXPECT_EQ(queue.work_before(make_item(4, "b", 1.0, priority::normal)).work, 20ms);
    EXPECT_EQ(queue.pop(always)->id.number, 2U);
    EXPECT_EQ(queue.pop(always)->id.number, 3U);
    EXPECT_EQ(queue.pop(always)->id.number, 1U);
}

// Guards against refusing the requests of one workspace when another workspace has a long backlog.
TEST(fair_queue_test, backlog_of_one_workspace_does_not_count_for_others) {
    const manual_clock time;
    fair_queue queue{time};
    for (std::uint64_t i = 0; i < 100; ++i) {
        queue.push(make_item(i, "flood", 1.0, priority::normal));
    }
    EXPECT_EQ(queue.work_before(make_item(200, "other", 1.0, priority::normal)), (waiting_work{10ms, 1}));
    EXPECT_EQ(queue.work_before(make_item(201, "flood", 1.0, priority::normal)), (waiting_work{1000ms, 100}));
    EXPECT_EQ(queue.work_before(make_item(202, "other", 1.0, priority::low)), (waiting_work{1000ms, 100}));
    EXPECT_EQ(queue.work_before(make_item(203, "flood", 1.0, priority::high)), (waiting_work{0ms, 0}));
}

// Guards against expired or cancelled requests that stay in the queue.
TEST(fair_queue_test, expired_and_removed_items_are_not_served) {
    manual_clock time;
    fair_queue queue{time};
    queue.push(make_item(1, "a", 1.0, priority::normal));
    queue.push(make_item(2, "a", 1.0, priority::normal));
    EXPECT_TRUE(queue.remove({1, 1}));
    EXPECT_FALSE(queue.remove({1, 1}));
    time.advance(1001ms);
    ASSERT_EQ(queue.extract_expired().size(), 1U);
    EXPECT_FALSE(queue.pop(always));
}

// Guards against accepted requests that cannot start before their deadline.
TEST(fair_queue_test, refuses_requests_that_cannot_start_in_time) {
    EXPECT_FALSE(refuse_if_late(100ms, 100ms));
    const std::optional<queue_refusal> refusal = refuse_if_late(350ms, 100ms);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason.kind, error_kind::overloaded);
    EXPECT_EQ(refusal->retry_after, 250ms);
}

// Guards against estimates that ignore running requests, queued work or the prefix cache.
TEST(load_model_test, estimates_wait_and_first_token) {
    manual_clock time;
    load_model load{time, {1, 1.0, 1.0}};
    const request_size size{5, 100, 50};
    EXPECT_EQ(load.estimate(size, 0ms, 0).wait, 0ms);
    EXPECT_EQ(load.estimate(size, 0ms, 0).first_token, 101ms);
    load.on_start({1, 1}, size);
    EXPECT_EQ(load.estimate(size, 30ms, 1).wait, 180ms);
    EXPECT_EQ(load.estimate(size, 0ms, 0).cached_tokens, 100U);
    time.advance(150ms);
    load.on_end({1, 1}, true);
    EXPECT_EQ(load.estimate(size, 0ms, 0).first_token, 1ms);
    EXPECT_EQ(load.running(), 0U);
}

// Guards against a crash that is counted twice when its report is retried, and against suspects that never expire.
TEST(suspect_list_test, counts_each_crash_once_and_expires) {
    manual_clock time;
    suspect_list suspects{time};
    suspects.record({"e1", false, {{"d", {1, 1}}, {"d", {1, 2}}, {"other", {1, 3}}}});
    suspects.record({"e1", false, {{"d", {1, 1}}}});
    EXPECT_EQ(suspects.crash_count("d"), 1U);
    EXPECT_FALSE(suspects.is_quarantined("d"));
    suspects.record({"e2", false, {{"d", {2, 1}}}});
    EXPECT_TRUE(suspects.is_quarantined("d"));
    EXPECT_TRUE(suspects.is_suspect("other"));
    time.advance(config::suspect_lifetime);
    EXPECT_FALSE(suspects.is_suspect("d"));
    EXPECT_EQ(suspects.size(), 0U);
}

// Guards against counting one crash twice when the agent of a failing host and an entry both report it: harmless
// requests would be quarantined.
TEST(suspect_list_test, reports_of_agent_and_entry_count_as_one_crash) {
    manual_clock time;
    const inner::suspect_report by_agent{"host-1-1", false, {{"d", {1, 7}}, {"d", {1, 8}}}};
    const inner::suspect_report by_entry{"agent:1", true, {{"d", {1, 7}}}};
    const inner::suspect_report by_other_entry{"agent:1", true, {{"d", {1, 8}}}};
    suspect_list agent_first{time};
    agent_first.record(by_agent);
    agent_first.record(by_entry);
    agent_first.record(by_other_entry);
    EXPECT_EQ(agent_first.crash_count("d"), 1U);
    suspect_list entry_first{time};
    entry_first.record(by_entry);
    entry_first.record(by_other_entry);
    EXPECT_EQ(entry_first.crash_count("d"), 1U);
    entry_first.record(by_agent);
    EXPECT_EQ(entry_first.crash_count("d"), 1U);
    entry_first.record({"agent:1", true, {{"d", {1, 20}}}});
    EXPECT_EQ(entry_first.crash_count("d"), 2U);
}

// Guards against a restarted agent that counts crashes twice when several peers report them.
TEST(suspect_list_test, merges_suspects_of_peers) {
    manual_clock time;
    suspect_list peer{time};
    EXPECT_FALSE(peer.state().complete);
    peer.mark_complete();
    peer.record({"e1", false, {{"d", {1, 1}}}});
    time.advance(1min);
    suspect_list restarted{time};
    restarted.merge(peer.state().suspects);
    restarted.merge(peer.state().suspects);
    EXPECT_TRUE(peer.state().complete);
    EXPECT_EQ(restarted.crash_count("d"), 1U);
    restarted.record({"e2", false, {{"d", {2, 1}}}});
    EXPECT_TRUE(restarted.is_quarantined("d"));
    suspect_list late{time};
    late.merge(peer.state().suspects);
    time.advance(config::suspect_lifetime - 1min);
    EXPECT_FALSE(late.is_suspect("d"));
}

// Guards against reports that are lost because they exceed the size of a datagram, and against runs that are lost when
// a report is split.
TEST(suspect_list_test, reports_are_split_to_fit) {
    inner::suspect_report report{std::string(64, 'n') + "-18446744073709551615-1000", false, {}};
    for (std::uint64_t i = 0; i < 100; ++i) {
        report.runs.push_back({std::string(64, 'a'), {1, i}});
    }
    std::size_t runs = 0;
    for (const inner::suspect_report& part : split_report(report)) {
        runs += part.runs.size();
        EXPECT_EQ(part.event_id, report.event_id);
        const inner::packet sent{
            config::protocol_version, inner::message_type::suspect_report, 1, false, std::string(64, 'n'),
            inner::encode(part)};
        EXPECT_LE(inner::encode(sent).size(), config::max_datagram_bytes);
    }
    EXPECT_EQ(runs, 100U);
}

} // namespace
} // namespace pomelohoist
