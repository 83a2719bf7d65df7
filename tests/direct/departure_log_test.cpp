#include "direct/departure_log.h"
#include "direct/routing_state.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

/// Tests of the decision which registrations of a restored store are disregarded.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

endpoint_record endpoint(const std::string& instance, std::uint64_t started_ms, bool is_leaving = false) {
    return {instance, "s", {"10.0.0.1", 80}, "dc", 4, is_leaving, started_ms};
}

class departure_log_test : public testing::Test {
  protected:
    void SetUp() override {
        this->time.advance(1h);
        this->apply(1, 10, {endpoint("a", 1), endpoint("b", 2), endpoint("c", 3)});
        this->apply(1, 11, {endpoint("b", 2, true), endpoint("c", 3)});
        this->time.advance(9s);
    }

    void apply(std::uint64_t era, std::uint64_t number, std::vector<endpoint_record> endpoints) {
        ASSERT_TRUE(this->state.apply_endpoints({make_list_revision({era, number}), std::move(endpoints)}));
    }
    [[nodiscard]] std::vector<endpoint_record> used() const { return this->state.current().endpoints->endpoints; }

    manual_clock time;
    structured_log log{make_null_log()};
    routing_state state{this->time, this->log};
};

} // namespace

// Guards against sending requests to endpoints that had left, by whatever process has read the restored store.
TEST_F(departure_log_test, what_had_left_before_the_restore_is_not_used) {
    const std::vector<endpoint_record> expected{endpoint("b", 2, true), endpoint("c", 3)};
    this->apply(2, 5, {endpoint("a", 1), endpoint("b", 2), endpoint("c", 3)});
    EXPECT_EQ(this->used(), expected);
    this->time.advance(config::restored_registration_time - 1ms);
    this->apply(2, 6, {endpoint("a", 1), endpoint("b", 2), endpoint("c", 3)});
    EXPECT_EQ(this->used(), expected);
}

// Guards against an endpoint that stays out of use although it is still registered long after the restore.
TEST_F(departure_log_test, an_endpoint_that_stays_registered_is_used_again) {
    const std::vector<endpoint_record> listed{endpoint("a", 1), endpoint("c", 3)};
    this->apply(2, 5, listed);
    this->state.apply_due_changes();
    EXPECT_EQ(this->used().size(), 1U);
    this->time.advance(config::restored_registration_time);
    this->state.apply_due_changes();
    EXPECT_EQ(this->used(), listed);
}

// Guards against leaving out endpoints that start anew under an old name, or that registered too late after the
// restore.
TEST_F(departure_log_test, what_starts_or_registers_after_the_restore_is_used) {
    this->apply(2, 5, {endpoint("a", 4), endpoint("c", 3)});
    EXPECT_EQ(this->used().size(), 2U);
    this->time.advance(1s);
    this->apply(2, 6, {endpoint("a", 4)});
    this->apply(2, 7, {endpoint("a", 4), endpoint("c", 3)});
    EXPECT_EQ(this->used().size(), 2U);
}

// Guards against an earlier list, of the same or an earlier era, that replaces a later one.
TEST_F(departure_log_test, lists_are_ordered_by_era_first) {
    this->apply(2, 1, {endpoint("c", 3)});
    EXPECT_FALSE(this->state.apply_endpoints({make_list_revision({1, 99}), {}}));
    EXPECT_FALSE(this->state.apply_endpoints({make_list_revision({2, 0}), {}}));
    EXPECT_FALSE(this->state.apply_endpoints({make_list_revision({2, 1}), {}})) << "a reading has one list";
    EXPECT_TRUE(this->state.apply_endpoints({make_list_revision({2, 2}), {}}));
}

} // namespace pomelohoist
