#include "direct_fixture.h"
#include "spread_fixture.h"

#include <gtest/gtest.h>

/// Tests of evacuated data centres.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::scripted_endpoint;
using test_support::scripted_response;

constexpr std::chrono::milliseconds in_force{5000}; // required bound

class evacuation_test : public testing::Test {
  protected:
    void SetUp() override {
        this->reader.start();
        this->refused.start();
        ASSERT_TRUE(eventually([this] { return this->reader.routing() == 1 && this->refused.routing() == 1; }));
    }

    /// @returns true when both processes come to the same decision in time
    bool both(const std::string& data_centre, bool is_evacuated) {
        const auto begin = std::chrono::steady_clock::now();
        return eventually([&] {
                   return this->reader.is_evacuated(data_centre) == is_evacuated &&
                          this->refused.is_evacuated(data_centre) == is_evacuated;
               }) &&
               std::chrono::steady_clock::now() - begin < in_force;
    }

    struct unavailable_store : fake_store {
        unavailable_store() { this->is_down = true; }
    };

    fake_store store;
    unavailable_store no_store;
    node reader{"entry-1", this->store};
    node refused{"entry-2", this->no_store, true, {this->reader.own.address}};
};

// Guards against requests from an entry that the store refuses: it has to learn of an evacuation from its peers.
TEST_F(evacuation_test, a_process_that_the_store_refuses_learns_of_it_from_a_peer) {
    EXPECT_FALSE(this->reader.state.current().evacuations) << "a declaration without an evacuation makes no list";
    this->store.evacuate("dc");
    EXPECT_TRUE(this->both("dc", true));
    EXPECT_FALSE(this->refused.is_evacuated("other"));
    this->store.take_back("dc");
    EXPECT_TRUE(this->both("dc", false));
}

// Guards against an evacuation that stays in force because it was taken back in the part of the history that the store
// has dropped.
TEST_F(evacuation_test, one_that_is_taken_back_while_history_is_dropped_ends) {
    this->store.evacuate("dc");
    this->store.evacuate("other");
    ASSERT_TRUE(this->both("dc", true) && this->both("other", true));
    this->store.is_down = true;
    this->store.take_back("dc");
    this->store.oldest_revision = 1000;
    this->store.is_down = false;
    EXPECT_TRUE(this->both("dc", false));
    EXPECT_TRUE(this->both("other", true));
}

// Guards against discarding the list of a restored store as old until the store has given out as many revisions again.
TEST_F(evacuation_test, a_restored_store_replaces_the_list) {
    this->store.evacuate("dc");
    ASSERT_TRUE(this->both("dc", true));
    const store_content copy = this->store.copy();
    for (std::uint64_t version = 2; version < 20; ++version) {
        this->store.declare(version);
    }
    this->store.take_back("dc");
    this->store.evacuate("other");
    ASSERT_TRUE(this->both("dc", false) && this->both("other", true));
    this->store.restore(copy);
    EXPECT_TRUE(this->both("dc", true));
    EXPECT_TRUE(this->both("other", false));
    this->store.take_back("dc");
    EXPECT_TRUE(this->both("dc", false));
}

// Guards against a process that keeps the list of a peer that was cut off while the evacuation was taken back.
TEST_F(evacuation_test, a_list_that_was_taken_back_before_does_not_return) {
    this->store.evacuate("dc");
    ASSERT_TRUE(this->both("dc", true));
    const evacuation_list old = *this->reader.state.current().evacuations;
    node later{"entry-0", this->store};
    this->store.take_back("dc");
    ASSERT_TRUE(this->both("dc", false));
    later.state.apply_evacuations(old);
    later.start();
    EXPECT_TRUE(eventually([&] { return later.routing() == 1 && !later.is_evacuated("dc"); }));
    EXPECT_TRUE(this->both("dc", false));
}

// Guards against replacing a list by an older version from a late reader or a slow peer.
TEST(evacuation_list_test, only_newer_versions_apply) {
    const system_clock time;
    structured_log log = make_null_log();
    routing_state state{time, log};
    EXPECT_TRUE(state.apply_evacuations({7, {"dc"}}));
    EXPECT_FALSE(state.apply_evacuations({7, {}}));
    EXPECT_FALSE(state.apply_evacuations({6, {}}));
    EXPECT_TRUE(state.current().is_evacuated("dc"));
}

scripted_response respond(const std::string& request, std::size_t /*number*/) {
    return {test_support::full_response_to(request, 200, "x")};
}

// Guards against first sends and retries to an evacuated data centre, and against callers that wait there in vain.
TEST(evacuated_forwarding_test, nothing_is_sent_there) {
    scripted_endpoint evacuated{respond};
    scripted_endpoint failing{[](const std::string& request, std::size_t number) {
        const int status = number % 2 == 0 ? 500 : 200;
        return scripted_response{test_support::full_response_to(request, status, "x")};
    }};
    direct_entry entry{{evacuated.address()}};
    entry.state.apply_endpoints({2,
                                 {{"i-0", "s", evacuated.address(), "dc", 4, false, 0},
                                  {"i-1", "s", failing.address(), "other", 4, false, 0}}});
    entry.state.apply_evacuations({3, {"dc"}});
    for (int i = 0; i < 20; ++i) {
        entry.call("GET", "/safe/x");
        entry.call("GET", "/stream/x");
    }
    EXPECT_TRUE(evacuated.requests().empty());
    EXPECT_GE(failing.requests().size(), 20U);
    entry.state.apply_evacuations({4, {"dc", "other"}});
    const std::size_t sent = failing.requests().size();
    const auto begin = std::chrono::steady_clock::now();
    const test_support::http_response refusal = entry.call("GET", "/safe/x");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 100ms) << "no wait for capacity";
    EXPECT_EQ(refusal.status, 503);
    EXPECT_NE(refusal.body.find("\"not_run\":true"), std::string::npos) << refusal.body;
    EXPECT_EQ(failing.requests().size(), sent);
    entry.state.apply_evacuations({5, {}});
    EXPECT_TRUE(eventually([&] {
        entry.call("GET", "/safe/x");
        return !evacuated.requests().empty();
    })) << "it is used again once the evacuation has been taken back";
}

// Guards against sending a request there that waited for capacity when the evacuation was declared.
TEST(evacuated_forwarding_test, a_request_that_waits_is_not_sent_there) {
    scripted_endpoint endpoint{respond};
    direct_entry entry{{endpoint.address()}};
    std::vector<std::unique_ptr<endpoint_permit>> held;
    const endpoint_record listed = entry.state.current().endpoints->endpoints.front();
    while (held.size() < capacity_of(listed.slots, false)) {
        held.push_back(std::make_unique<endpoint_permit>(listed, entry.tracker, entry.prompts, entry.link, 0, 0.0));
    }
    test_support::http_response refusal;
    std::thread waiting{[&] { refusal = entry.call("GET", "/safe/x"); }};
    EXPECT_TRUE(eventually([&] { return entry.admission.waiting() == 1; }));
    entry.state.apply_evacuations({2, {"dc"}});
    held.clear();
    waiting.join();
    EXPECT_EQ(refusal.status, 503);
    EXPECT_TRUE(endpoint.requests().empty());
}

} // namespace
} // namespace pomelohoist
