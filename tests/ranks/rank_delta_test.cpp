#include "ranks/rank_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

using namespace pomelohoist;

// Guards against counts that change on the way: with and without a base, and up to the largest number.
RC_GTEST_PROP(rank_delta, counts_survive_the_difference, (const std::vector<std::uint64_t>& base)) {
    std::vector<std::uint64_t> counts = base;
    for (std::uint64_t& each : counts) {
        each += *rc::gen::inRange<std::uint64_t>(0, 1U << 20U);
    }
    const bool has_wrapped = !std::equal(counts.begin(), counts.end(), base.begin(), std::greater_equal<>{});
    const auto bytes = encode_counts(counts, base);
    RC_ASSERT(bytes.has_value() != has_wrapped);
    if (bytes) {
        RC_ASSERT(decode_counts(*bytes, base) == counts);
    }
    RC_ASSERT(decode_counts(*encode_counts(counts, {}), {}) == counts);
}

RC_GTEST_PROP(rank_delta, slots_survive_the_difference, (const std::vector<std::uint16_t>& base)) {
    std::vector<std::uint16_t> slots = base;
    for (std::uint16_t& each : slots) {
        each = *rc::gen::elementOf(std::vector<std::uint16_t>{each, 0, 65535});
    }
    RC_ASSERT(decode_slots(encode_slots(slots, base), base) == slots);
}

// Guards against a crash, or a map of the wrong size, from bytes that another process never meant to send.
RC_GTEST_PROP(rank_delta, arbitrary_bytes_are_rejected_or_decoded, (const std::string& bytes)) {
    const std::vector<std::uint64_t> counts(8, 5);
    const auto decoded = decode_counts(bytes, counts);
    RC_ASSERT(!decoded || decoded->size() == counts.size());
    static_cast<void>(decode_counts(bytes, {}));
    const std::vector<std::uint16_t> slots(8, 5);
    const auto map = decode_slots(bytes, slots);
    RC_ASSERT(!map || map->size() == slots.size());
}

// Guards against the counts of an earlier run of a rank as the base of a difference.
TEST(rank_delta_test, counts_of_a_restarted_rank_have_no_difference) {
    EXPECT_FALSE(encode_counts({1, 2}, {3, 0}));
    EXPECT_FALSE(encode_counts({1, 2}, {1}));
    EXPECT_FALSE(decode_counts(*encode_counts({1, 2}, {}), {1, 2, 3}));
}

// Guards against rounds that fill the link of a coordinator: 16 layers of 192 experts, some selections each.
TEST(rank_delta_test, a_difference_is_small) {
    std::vector<std::uint64_t> base(std::size_t{16} * 192, 5'000'000'000);
    std::vector<std::uint64_t> counts = base;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        counts[i] += i % 100;
    }
    EXPECT_LT(encode_counts(counts, base)->size(), counts.size() + 8);
}
