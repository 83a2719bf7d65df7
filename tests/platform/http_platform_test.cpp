#include "platform/http_platform.h"

#include "platform/standin_process.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

class http_platform_test : public testing::Test {
  protected:
    standin_process standin{{"--weight-rate", "2", "--host-lag-ms", "200"}};
    const system_clock time{};
    http_platform client{this->standin.address(), this->time, 500ms};
};

// Guards against keys or values that the encoding in Base64 and JSON alters.
TEST_F(http_platform_test, keeps_rows_of_any_bytes) {
    std::string bytes;
    for (int i = 0; i < 256; ++i) {
        bytes += static_cast<char>(i);
    }
    const auto outcome = this->client.commit({{{"a/" + bytes, 0}}, {{"a/" + bytes, bytes}, {"a/b", "2"}, {"b", "3"}}});
    ASSERT_TRUE(outcome && outcome->committed);
    const auto row = this->client.get("a/" + bytes);
    ASSERT_TRUE(row && *row);
    EXPECT_EQ((*row)->value, bytes);
    EXPECT_EQ((*row)->revision, outcome->revision);
    const auto rows = this->client.list("a/");
    ASSERT_TRUE(rows);
    EXPECT_EQ(rows->size(), 2U);
    EXPECT_FALSE(this->client.commit({{{"a/b", 0}}, {{"a/b", "9"}}})->committed);
    ASSERT_TRUE(this->client.commit({{{"a/b", outcome->revision}}, {{"a/b", std::nullopt}}})->committed);
    EXPECT_FALSE(this->client.get("a/b")->has_value());
}

// Guards against wrong paths or decoding of objects, host lists and weight copies.
TEST_F(http_platform_test, serves_objects_hosts_and_weights) {
    EXPECT_FALSE(this->client.get_object("config/snapshot/1")->has_value());
    const std::string large(3U << 20U, '\x01');
    ASSERT_TRUE(this->client.put_object("config/snapshot/1", large));
    EXPECT_EQ(**this->client.get_object("config/snapshot/1"), large);
    this->standin.control("hosts", R"({"live":["h1"],"leaving":["h2"]})");
    EXPECT_EQ(this->client.read_hosts()->version, 0U);
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(*this->client.read_hosts(), (host_list_content{1, {"h2"}}));
    int refused = 0;
    for (std::uint32_t expert = 0; expert < 4; ++expert) {
        const auto fetched = this->client.fetch_expert("g", 1, expert, 3);
        refused += !fetched && fetched.last_error().kind == error_kind::overloaded ? 1 : 0;
    }
    EXPECT_GE(refused, 1);
}

// Guards against treating a write whose response was lost as a write without effect.
TEST_F(http_platform_test, write_with_a_lost_response_is_found_by_reading) {
    this->standin.control("faults", R"({"lose_answers":{"next":1}})");
    const auto outcome = this->client.commit({{{"k", 0}}, {{"k", "v"}}});
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.last_error().kind, error_kind::store_unavailable);
    const auto row = this->client.get("k");
    ASSERT_TRUE(row && *row);
    EXPECT_EQ((*row)->value, "v");
}

// Guards against an outage that throws, blocks the caller, or makes later calls fail too.
TEST_F(http_platform_test, outage_is_a_failure_and_ends) {
    for (const char* fault : {R"({"down":true})", R"({"down":"503"})", R"({"down":"","slow_ms":2000})"}) {
        this->standin.control("faults", fault);
        EXPECT_EQ(this->client.get("k").last_error().kind, error_kind::store_unavailable) << fault;
        EXPECT_EQ(this->client.read_hosts().last_error().kind, error_kind::store_unavailable) << fault;
        this->standin.control("faults", R"({"down":"","slow_ms":0})");
        EXPECT_TRUE(this->client.get("k")) << fault;
    }
}

// Guards against two winners of one compare-and-swap over real connections.
TEST_F(http_platform_test, one_writer_wins_each_revision) {
    std::atomic<int> winners{0};
    std::vector<std::thread> writers;
    writers.reserve(8);
    for (int i = 0; i < 8; ++i) {
        writers.emplace_back([&] {
            const auto outcome = this->client.commit({{{"race", 0}}, {{"race", "x"}}});
            winners += outcome && outcome->committed ? 1 : 0;
        });
    }
    for (std::thread& writer : writers) {
        writer.join();
    }
    EXPECT_EQ(winners, 1);
}

} // namespace
} // namespace pomelohoist
