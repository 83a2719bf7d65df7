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

// Guards against a large workspace that takes more than its share while others wait.
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

// Guards against an idle workspace that saves up time and then blocks the others.
TEST(fair_queue_test, idle_time_is_not_saved) {
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

// Guards against low priority before high.
TEST(fair_queue_test, priority_goes_first) {
    const manual_clock time;
    fair_queue queue{time};
    queue.push(make_item(1, "a", 1.0, priority::low));
    queue.push(make_item(2, "a", 1.0, priority::high));
    queue.push(make_item(3, "a", 1.0, priority::normal));
    EXPECT_EQ(queue.work_before(priority::normal), 20ms);
    EXPECT_EQ(queue.pop(always)->id.number, 2U);
    EXPECT_EQ(queue.pop(always)->id.number, 3U);
    EXPECT_EQ(queue.pop(always)->id.number, 1U);
}

// Guards against requests that wait past their deadline, and against cancelled ones that still come up.
TEST(fair_queue_test, expired_and_removed_items_leave) {
    manual_clock time;
    fair_queue queue{time};
    queue.push(make_item(1, "a", 1.0, priority::normal));
    queue.push(make_item(2, "a", 1.0, priority::normal));
    EXPECT_TRUE(queue.remove({1, 1}));
    EXPECT_FALSE(queue.remove({1, 1}));
    time.advance(1001ms);
    ASSERT_EQ(queue.take_expired().size(), 1U);
    EXPECT_FALSE(queue.pop(always));
}

// Guards against a queue that accepts what it cannot start in time.
TEST(fair_queue_test, refuses_what_cannot_start_in_time) {
    EXPECT_FALSE(refuse_if_late(100ms, 100ms));
    const std::optional<queue_refusal> refusal = refuse_if_late(350ms, 100ms);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason.kind, error_kind::overloaded);
    EXPECT_EQ(refusal->retry_after, 250ms);
}

// Guards against estimates that ignore what runs, what waits, or the prefix cache.
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

// Guards against one death that counts twice when its report is repeated, and against suspects for ever.
TEST(suspect_list_test, counts_each_event_once_and_expires) {
    manual_clock time;
    suspect_list suspects{time};
    suspects.record("e1", {"d", "d", "other"});
    suspects.record("e1", {"d"});
    EXPECT_EQ(suspects.deaths("d"), 1U);
    EXPECT_FALSE(suspects.is_quarantined("d"));
    suspects.record("e2", {"d"});
    EXPECT_TRUE(suspects.is_quarantined("d"));
    EXPECT_TRUE(suspects.is_suspect("other"));
    time.advance(config::suspect_lifetime);
    EXPECT_FALSE(suspects.is_suspect("d"));
    EXPECT_EQ(suspects.size(), 0U);
}

// Guards against reports that do not fit into a datagram and are lost, and against digests counted twice.
TEST(suspect_list_test, reports_are_split_to_fit) {
    inner::suspect_report report{std::string(64, 'n') + "-18446744073709551615-1000", {}};
    for (int i = 0; i < 100; ++i) {
        report.digests.push_back(std::string(64, 'a'));
    }
    std::size_t digests = 0;
    for (const inner::suspect_report& part : split_report(report)) {
        digests += part.digests.size();
        const inner::packet sent{
            config::protocol_version, inner::message_type::suspect_report, 1, false, std::string(64, 'n'),
            inner::encode(part)};
        EXPECT_LE(inner::encode(sent).size(), config::max_datagram_bytes);
    }
    EXPECT_EQ(digests, 100U);
}

} // namespace
} // namespace pomelohoist
