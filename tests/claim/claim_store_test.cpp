#include "claim/claim_store.h"

#include "platform/memory_table.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace pomelohoist {
namespace {

claim make_claim(const std::string& attempt, std::uint64_t number = 1) {
    return {attempt, "digest", {"127.0.0.1", 7}, {9, number}, claim_state::claimed, std::nullopt};
}

class claim_store_test : public testing::Test {
  protected:
    memory_table table;
    claim_store store{this->table};
};

// Guards against two attempts that both own the claim of one key.
TEST_F(claim_store_test, concurrent_inserts_have_one_owner) {
    for (int round = 0; round < 50; ++round) {
        const std::string key = "key " + std::to_string(round);
        std::atomic<int> owners{0};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&, i] {
                const auto record = this->store.insert("w", key, make_claim("attempt " + std::to_string(i)));
                owners += record && record->is_own ? 1 : 0;
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        ASSERT_EQ(owners, 1);
    }
}

// Guards against an attempt that does not recognise its own claim after the response to the insert was lost.
TEST_F(claim_store_test, lost_response_to_an_insert_is_read_back) {
    this->table.faults().lose_responses(1);
    const auto record = this->store.insert("w", "k", make_claim("a"));
    ASSERT_TRUE(record);
    EXPECT_TRUE(record->is_own);
    EXPECT_EQ(record->content, make_claim("a"));
    const auto competing = this->store.insert("w", "k", make_claim("b"));
    ASSERT_TRUE(competing);
    EXPECT_FALSE(competing->is_own);
    EXPECT_EQ(competing->content.attempt, "a");
}

// Guards against an insert that seems to have succeeded although it could not be verified.
TEST_F(claim_store_test, insert_is_unavailable_when_it_cannot_be_read_back) {
    this->table.faults().lose_responses(1);
    this->table.faults().fail_reads(1);
    const auto record = this->store.insert("w", "k", make_claim("a"));
    ASSERT_FALSE(record);
    EXPECT_EQ(record.last_error().kind, error_kind::store_unavailable);
    this->table.faults().set_down(true);
    EXPECT_EQ(this->store.insert("w", "k2", make_claim("a")).last_error().kind, error_kind::store_unavailable);
    this->table.faults().set_down(false);
    EXPECT_FALSE(this->store.find("w", "k2")->has_value());
}

// Guards against two attempts that both take over the claim of a third attempt that did not run.
TEST_F(claim_store_test, take_over_has_one_winner_also_with_lost_responses) {
    for (std::uint32_t round = 0; round < 50; ++round) {
        const std::string key = "key " + std::to_string(round);
        const auto previous = this->store.insert("w", key, make_claim("first"));
        ASSERT_TRUE(previous && previous->is_own);
        this->table.faults().lose_responses(round % 3);
        std::atomic<int> owners{0};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (std::uint64_t i = 0; i < 4; ++i) {
            threads.emplace_back([&, i] {
                const claim new_claim = make_claim("taker " + std::to_string(i), i + 2);
                const auto record = this->store.take_over("w", key, *previous, new_claim);
                owners += record && record->is_own ? 1 : 0;
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        this->table.faults().lose_responses(0);
        ASSERT_EQ(owners, 1);
    }
}

// Guards against a response that is lost, changed, or written into the claim of another attempt.
TEST_F(claim_store_test, completion_stores_the_response_of_the_owner_only) {
    const inner::stored_response response{201, "application/octet-stream", std::string("\x00\xff{}", 4)};
    const auto own = this->store.insert("w", "k", make_claim("a"));
    this->table.faults().lose_responses(1);
    ASSERT_TRUE(this->store.complete("w", "k", *own, response));
    EXPECT_TRUE(this->store.complete("w", "k", *own, response)) << "the agent and the entry may both complete";
    const auto found = this->store.find("w", "k");
    ASSERT_TRUE(found && *found);
    EXPECT_EQ((*found)->content.state, claim_state::completed);
    EXPECT_EQ((*found)->content.response, response);

    const auto replaced = this->store.insert("w", "k2", make_claim("a"));
    ASSERT_TRUE(this->store.take_over("w", "k2", *replaced, make_claim("b", 2))->is_own);
    EXPECT_EQ(this->store.complete("w", "k2", *replaced, response).last_error().kind, error_kind::conflict);
    EXPECT_EQ((*this->store.find("w", "k2"))->content.attempt, "b");
}

// Guards against storing a large response, which would be truncated or slow down the table.
TEST_F(claim_store_test, large_responses_are_refused) {
    const auto own = this->store.insert("w", "k", make_claim("a"));
    const inner::stored_response response{200, "text/plain", std::string(claim_store::max_response_bytes, 'x')};
    EXPECT_EQ(this->store.complete("w", "k", *own, response).last_error().kind, error_kind::payload_too_large);
    EXPECT_EQ((*this->store.find("w", "k"))->content.state, claim_state::claimed);
}

// Guards against claims of two workspaces with the same key that share one row.
TEST_F(claim_store_test, workspaces_have_their_own_keys) {
    EXPECT_TRUE(this->store.insert("w1", "k", make_claim("a"))->is_own);
    EXPECT_TRUE(this->store.insert("w2", "k", make_claim("b"))->is_own);
}

} // namespace
} // namespace pomelohoist
