#include "agent/ticket_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using inner::ticket_state;

constexpr std::uint64_t incarnation = 77;

class ticket_table_test : public testing::Test {
  protected:
    manual_clock time;
    ticket_table table{time, incarnation};
};

// Guards against a run that starts twice when its run message arrives twice.
TEST_F(ticket_table_test, starts_once) {
    const ticket id = *this->table.issue("d");
    EXPECT_TRUE(this->table.present(id, "d"));
    EXPECT_EQ(this->table.present(id, "d").last_error().kind, error_kind::in_progress);
    EXPECT_TRUE(this->table.start(id));
    EXPECT_FALSE(this->table.start(id));
    EXPECT_EQ(this->table.cancel(id), ticket_state::running);
    this->table.finish(id);
    EXPECT_EQ(this->table.present(id, "d").last_error().kind, error_kind::outcome_unknown);
    EXPECT_EQ(this->table.cancel(id), ticket_state::started);
}

// Guards against a late run message that starts a run after the caller received "not run".
TEST_F(ticket_table_test, run_after_cancel_is_refused) {
    const ticket reserved = *this->table.issue("d");
    EXPECT_EQ(this->table.cancel(reserved), ticket_state::not_started);
    EXPECT_EQ(this->table.present(reserved, "d").last_error().kind, error_kind::ticket_refused);
    EXPECT_EQ(this->table.cancel(reserved), ticket_state::not_started);

    const ticket queued = *this->table.issue("d");
    EXPECT_TRUE(this->table.present(queued, "d"));
    EXPECT_EQ(this->table.cancel(queued), ticket_state::not_started);
    EXPECT_FALSE(this->table.start(queued));
    EXPECT_EQ(this->table.open_count(), 0U);
}

// Guards against a ticket that runs after its lifetime, and against the expiry of a queued or running ticket.
TEST_F(ticket_table_test, only_unused_tickets_expire) {
    const ticket unused = *this->table.issue("d");
    const ticket queued = *this->table.issue("d");
    EXPECT_TRUE(this->table.present(queued, "d"));
    this->time.advance(config::ticket_lifetime - 1ms);
    EXPECT_EQ(this->table.unused_count(), 1U);
    this->time.advance(1ms);
    EXPECT_EQ(this->table.unused_count(), 0U);
    EXPECT_EQ(this->table.present(unused, "d").last_error().kind, error_kind::ticket_refused);
    EXPECT_EQ(this->table.cancel(unused), ticket_state::not_started);
    EXPECT_TRUE(this->table.start(queued));
}

// Guards against a ticket that is used for a different request.
TEST_F(ticket_table_test, another_digest_is_refused) {
    const ticket id = *this->table.issue("d");
    EXPECT_EQ(this->table.present(id, "e").last_error().kind, error_kind::ticket_refused);
    EXPECT_FALSE(this->table.start(id));
}

// Guards against a `not_started` response for a ticket that an earlier process may have run, or for a ticket that may
// still be issued.
TEST_F(ticket_table_test, tickets_without_a_record_are_unknown) {
    EXPECT_EQ(this->table.cancel({incarnation + 1, 1}), ticket_state::unknown);
    EXPECT_EQ(this->table.present({incarnation + 1, 1}, "d").last_error().kind, error_kind::ticket_refused);
    EXPECT_EQ(this->table.cancel({incarnation, 1}), ticket_state::unknown);
    const ticket id = *this->table.issue("d");
    EXPECT_EQ(id.number, 1U);
    EXPECT_TRUE(this->table.present(id, "d"));
}

// Guards against memory that grows with the number of requests, and against "not run" for an evicted ticket.
TEST_F(ticket_table_test, memory_is_bounded) {
    ticket_table small{this->time, incarnation, 2};
    const ticket started = *small.issue("d");
    EXPECT_TRUE(small.present(started, "d") && small.start(started));
    small.finish(started);
    for (int i = 0; i < 3; ++i) {
        const ticket next = *small.issue("d");
        EXPECT_TRUE(small.present(next, "d") && small.start(next));
        small.finish(next);
    }
    EXPECT_EQ(small.cancel(started), ticket_state::unknown);
    EXPECT_EQ(small.present(started, "d").last_error().kind, error_kind::outcome_unknown);
    EXPECT_TRUE(small.issue("d") && small.issue("d"));
    EXPECT_EQ(small.issue("d").last_error().kind, error_kind::overloaded);
}

/// Events of one ticket that a test observed.
struct ticket_events {
    int starts{0};
    bool reported_not_started{false};
};

void apply_step(ticket_table& table, manual_clock& time, std::map<ticket, ticket_events>& observed, int step,
                std::size_t choice) {
    if (step == 0 || observed.empty()) {
        const result<ticket> issued = table.issue("d");
        if (issued) {
            RC_ASSERT(observed.emplace(*issued, ticket_events{}).second);
        }
        return;
    }
    // Selects mostly recent tickets, so that many tickets pass through all states.
    const std::size_t range = choice % 3 == 0 ? observed.size() : std::min<std::size_t>(observed.size(), 3);
    auto& [id, ticket_history] = *std::prev(observed.end(), 1 + static_cast<std::ptrdiff_t>(choice / 3 % range));
    switch (step) {
    case 1:
        static_cast<void>(table.present(id, choice % 5 == 0 ? "e" : "d"));
        break;
    case 2:
        ticket_history.starts += table.start(id) ? 1 : 0;
        break;
    case 3:
        table.finish(id);
        break;
    case 4: {
        const ticket_state state = table.cancel(id);
        ticket_history.reported_not_started = ticket_history.reported_not_started || state == ticket_state::not_started;
        break;
    }
    default:
        time.advance(std::chrono::milliseconds{choice % 1500});
        break;
    }
    RC_ASSERT(ticket_history.starts <= 1);
    RC_ASSERT(!(ticket_history.reported_not_started && ticket_history.starts > 0));
}

// Guards against any order of reserve, run, start, end, cancel, expiry and eviction that starts a ticket twice or
// returns "not started" for a ticket that has started or starts later.
RC_GTEST_PROP(ticket_table_property, never_starts_twice_and_never_denies_a_start, ()) {
    manual_clock time;
    ticket_table table{time, incarnation, *rc::gen::element<std::size_t>(1, 3, 64)};
    std::map<ticket, ticket_events> observed;
    // Uses the nominal RapidCheck size from the first case on: smaller sizes would generate almost only zeros.
    const auto steps = *rc::gen::resize(
        rc::kNominalSize, rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
                              400, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, 10000))));
    for (const auto& [step, choice] : steps) {
        apply_step(table, time, observed, step, choice);
    }
    std::size_t starts = 0;
    for (const auto& [id, ticket_history] : observed) {
        starts += static_cast<std::size_t>(ticket_history.starts);
    }
    RC_CLASSIFY(starts > 0);
}

} // namespace
} // namespace pomelohoist
