#include "placement/unread_prompts.h"

#include "direct/direct_messages.h"
#include "direct/direct_request.h"
#include "direct/spread_fixture.h"
#include "inner/codec.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

#include <chrono>
#include <limits>
#include <string>
#include <vector>

using namespace pomelohoist;
using namespace std::chrono_literals;

namespace {

constexpr double tokens_per_s = 10000.0;
constexpr endpoint_digest an_endpoint = 7;

} // namespace

// Guards against a prompt that counts after its first event, or twice.
TEST(unread_prompts_test, counts_prompts_until_they_are_read) {
    manual_clock time;
    unread_prompts prompts{time};
    const auto first = prompts.begin(an_endpoint, 2000, tokens_per_s);
    const auto second = prompts.begin(an_endpoint, 500, tokens_per_s);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 250ms);
    EXPECT_EQ(prompts.reading_time(an_endpoint + 1, tokens_per_s), 0ms);
    prompts.end(an_endpoint, first);
    prompts.end(an_endpoint, first);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 50ms);
    prompts.end(an_endpoint, second);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 0ms);
    EXPECT_EQ(prompts.own_loads(), std::nullopt);
}

// Guards against a stalled stream that keeps requests from an endpoint for good, and against a prompt that is taken as
// read while the endpoint still reads those before it.
TEST(unread_prompts_test, a_prompt_counts_no_longer_than_twice_its_reading) {
    manual_clock time;
    unread_prompts prompts{time};
    prompts.begin(an_endpoint, 2000, tokens_per_s);
    prompts.begin(an_endpoint, 100, tokens_per_s);
    time.advance(399ms);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 210ms);
    time.advance(2ms);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 10ms);
    time.advance(19ms);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 0ms);
    EXPECT_EQ(prompts.own_loads(), std::nullopt);
}

// Guards against the prompts of an entry that was killed or cut off: its last report expires without a further one.
TEST(unread_prompts_test, reports_of_silent_peers_expire) {
    manual_clock time;
    unread_prompts prompts{time};
    const std::vector<unread_load> report{{an_endpoint, 100}, {an_endpoint + 1, 65535}};
    prompts.set_peer_loads("p", report);
    prompts.set_peer_loads("q", std::vector<unread_load>{{an_endpoint, 10}});
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 176ms);
    prompts.set_peer_loads("q", std::nullopt);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 160ms);
    time.advance(321ms);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 0ms);
    EXPECT_GT(prompts.reading_time(an_endpoint + 1, tokens_per_s), 0ms);
    time.advance(config::peer_load_lifetime);
    EXPECT_EQ(prompts.reading_time(an_endpoint + 1, tokens_per_s), 0ms);
    prompts.set_peer_loads("p", std::vector<unread_load>{{an_endpoint, 1}, {an_endpoint, 2}});
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 4800us);
}

// Guards against token counts that no caller can mean, and services without an engine description.
TEST(unread_prompts_test, ignores_unknown_rates_and_bounds_the_counts) {
    manual_clock time;
    unread_prompts prompts{time};
    prompts.begin(an_endpoint, 5000, 0.0);
    prompts.begin(an_endpoint, 0, tokens_per_s);
    EXPECT_EQ(prompts.own_loads(), std::nullopt);
    EXPECT_EQ(prompts.reading_time(an_endpoint, tokens_per_s), 0ms);
    for (int i = 0; i < 3; ++i) {
        prompts.begin(an_endpoint, std::numeric_limits<std::uint32_t>::max(), tokens_per_s);
    }
    EXPECT_EQ(prompts.own_loads(), (std::vector<unread_load>{{an_endpoint, 65535}}));
}

// Guards against a request that is refused for its token counts.
TEST(unread_prompts_test, malformed_token_counts_are_not_stated) {
    EXPECT_EQ(parse_prompt_tokens("1460,80"), 1460U);
    EXPECT_EQ(parse_prompt_tokens("1460"), 1460U);
    for (const std::string malformed : {"", ",", "x,80", "-5,80", "14 60,80", "99999999999,80", "1.5,80", " 7,1"}) {
        EXPECT_EQ(parse_prompt_tokens(malformed), 0U) << malformed;
    }
}

// Guards against updates that grow in deployments without unread prompts, and that exceed a datagram of 1,472 bytes
// when all 64 endpoints of a large group have a prompt to read.
TEST(unread_prompts_test, reports_are_small) {
    inner::peer_update update;
    update.sender = "front-centro-1-1";
    const std::size_t without = inner::encode(update).size();
    update.unread.emplace();
    for (endpoint_digest i = 0; i < 64; ++i) {
        update.unread->push_back({i, 180});
    }
    const std::string bytes = inner::encode(update);
    EXPECT_EQ(bytes.size() - without, 8U + 64U * 6U);
    const auto decoded = inner::decode<inner::peer_update>(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, update);
}

// Guards against a report that other entries do not receive with the load, and one that stays after its prompt was read
// although nothing else is sent.
TEST(unread_prompts_test, entries_exchange_their_unread_prompts) {
    fake_store store;
    node placing{"a", store};
    node other{"b", store};
    placing.link.add_peers({other.own});
    other.link.add_peers({placing.own});
    placing.link.start();
    other.link.start();
    // 2,000 tokens that take 800 ms at most.
    constexpr double slow = 5000.0;
    ASSERT_TRUE(eventually([&] { return placing.tracker.entries() == 2 && other.tracker.entries() == 2; }));
    const auto prompt = placing.prompts.begin(an_endpoint, 2000, slow);
    placing.link.send_load();
    EXPECT_TRUE(eventually([&] { return other.prompts.reading_time(an_endpoint, slow) == 400ms; }));
    placing.prompts.end(an_endpoint, prompt);
    EXPECT_TRUE(eventually([&] { return other.prompts.reading_time(an_endpoint, slow) == 0ms; }));
}
