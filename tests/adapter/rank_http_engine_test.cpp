#include "rank_http_engine.h"

#include "support/endless_responses.h"
#include "support/scripted_endpoint.h"

#include <pomelohoist/expert_balance.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

/// Tests of the HTTP client for the platform's model servers, each of which is one rank of a group.
namespace pomelohoist::platform {
namespace {

using test_support::scripted_endpoint;
using test_support::scripted_response;
using testing::HasSubstr;
using testing::Not;

const system_clock time;

scripted_response json_response(int status, const std::string& body) {
    return {"HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body};
}

// Guards against a state whose armed or held step is not decoded: the group would then continue with two maps.
TEST(rank_http_engine_test, decodes_all_fields_of_a_state) {
    const auto state = decode_rank_state(
        R"({"group":{"name":"g0","epoch":3,"rank":5,"state":"open"},"size":8,"step":812,"map":4,"prepared":6,)"
        R"("armed":{"version":6,"step":820},"held":820,"running":2,"queued":1})");
    ASSERT_TRUE(state) << state.last_error().reason;
    EXPECT_EQ(state->group, "g0");
    EXPECT_EQ(state->epoch, 3U);
    EXPECT_EQ(state->rank, 5U);
    EXPECT_EQ(state->ranks, 8U);
    EXPECT_TRUE(state->is_open);
    EXPECT_EQ(state->map_version, 4U);
    EXPECT_EQ(state->prepared_version, 6U);
    EXPECT_EQ(state->armed, (armed_switch{6, 820}));
    EXPECT_EQ(state->held_step, 820U);
    EXPECT_EQ(state->active, 3U);
    EXPECT_FALSE(decode_rank_state(R"({"group":{"name":"g0"},"step":1})"));
    EXPECT_FALSE(decode_rank_state("no json"));
}

// Guards against a command whose map has a different shape from the rank's own map.
TEST(rank_http_engine_test, encodes_a_map_by_layer_and_rank) {
    rank_command command;
    command.kind = rank_command_kind::prepare;
    command.epoch = 1;
    command.fence = 7;
    command.version = 4;
    command.layers = 2;
    command.ranks = 2;
    command.slots = {0, 2, 1, static_cast<std::uint16_t>(no_expert), 1, 0, 2, 0};
    const std::string body = encode_command(command);
    EXPECT_THAT(body, HasSubstr(R"("map":[[[0,2],[1]],[[1,0],[2,0]]])"));
    EXPECT_THAT(body, HasSubstr(R"("fence":7)"));
    EXPECT_THAT(body, HasSubstr(R"("op":"prepare")"));
    EXPECT_THAT(body, Not(HasSubstr("step")));
}

// Guards against treating a command without a response as refused.
TEST(rank_http_engine_test, maps_responses_to_command_outcomes) {
    int status = 202;
    scripted_endpoint engine{[&status](const std::string&, std::size_t) {
        return status == 0 ? scripted_response{"", {}, false, true} : json_response(status, "{}");
    }};
    rank_http_engine rank{engine.address(), time};
    const auto send_with = [&](int response_status) {
        status = response_status;
        return rank.send_command(rank_command{rank_command_kind::go, 1, 1, 0, 5, 0, 0, {}});
    };
    EXPECT_EQ(send_with(202), command_outcome::accepted);
    EXPECT_EQ(send_with(200), command_outcome::accepted);
    EXPECT_EQ(send_with(409), command_outcome::refused);
    EXPECT_EQ(send_with(412), command_outcome::fenced);
    EXPECT_EQ(send_with(0), command_outcome::no_response);
    EXPECT_EQ(send_with(202), command_outcome::accepted);
}

// Guards against decoding a truncated response, or one with an error status, as the expert lists of a rank.
TEST(rank_http_engine_test, a_truncated_or_failed_response_is_an_error) {
    scripted_endpoint engine{[](const std::string& request, std::size_t number) {
        scripted_response response = json_response(number == 0 ? 200 : 500, R"({"map":{"version":4,"experts":[[1]]}})");
        if (number == 0) {
            response.bytes.resize(response.bytes.size() - 3);
            response.closes = true;
        }
        static_cast<void>(request);
        return response;
    }};
    rank_http_engine rank{engine.address(), time};
    EXPECT_EQ(rank.read_experts().last_error().kind, error_kind::unreachable);
    EXPECT_EQ(rank.read_experts().last_error().kind, error_kind::unreachable);
}

// Guards against a process that runs out of memory, or waits for ever, when the model server beside it sends a response
// without end.
TEST(rank_http_engine_test, an_endless_response_is_broken_off) {
    for (const test_support::endless_response& each : test_support::endless_responses()) {
        scripted_endpoint engine{[&each](const std::string&, std::size_t) { return each.response; }};
        rank_http_engine rank{engine.address(), time};
        const auto began = std::chrono::steady_clock::now();
        EXPECT_FALSE(rank.read_state()) << each.name;
        EXPECT_FALSE(rank.read_counts()) << each.name;
        EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds{3}) << each.name;
        // Memory of a host is 112 MB at least; the kernel's buffers of both ends hold some 6 MB of a connection.
        EXPECT_LT(engine.endless_bytes(), 2 * (10U << 20U)) << each.name;
    }
}

// Guards against the same for a response whose bytes come one by one, so that each wait for bytes is short.
TEST(rank_http_engine_test, a_slow_response_without_end_is_broken_off) {
    for (const test_support::endless_response& each : test_support::slow_responses(std::chrono::milliseconds{20})) {
        scripted_endpoint engine{[&each](const std::string&, std::size_t) { return each.response; }};
        rank_http_engine rank{engine.address(), time};
        const auto began = std::chrono::steady_clock::now();
        EXPECT_FALSE(rank.read_state()) << each.name;
        EXPECT_EQ(rank.send_command(rank_command{rank_command_kind::go, 1, 1, 0, 5, 0, 0, {}}),
                  command_outcome::no_response)
            << each.name;
        EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds{3}) << each.name;
    }
}

// Guards against returning counts in the wrong order, or the counts of a different rank.
TEST(rank_http_engine_test, reads_counts_and_experts) {
    scripted_endpoint engine{[](const std::string& request, std::size_t) {
        return json_response(200, request.starts_with("GET /-/picked?lists")
                                      ? R"({"map":{"version":4,"experts":[[1,2],[3]]},"prepared":null})"
                                      : R"({"step":9,"epoch":1,"counts":[[5,88],[940,1]]})");
    }};
    rank_http_engine rank{engine.address(), time};
    const auto counts = rank.read_counts();
    ASSERT_TRUE(counts);
    EXPECT_EQ(*counts, (std::vector<std::uint64_t>{5, 88, 940, 1}));
    const auto experts = rank.read_experts();
    ASSERT_TRUE(experts);
    EXPECT_EQ(experts->map_version, 4U);
    EXPECT_EQ(experts->by_layer, (std::vector<std::vector<std::uint32_t>>{{1, 2}, {3}}));
}

} // namespace
} // namespace pomelohoist::platform
