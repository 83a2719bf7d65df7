#include "inner/frame_channel.h"
#include "inner/stream_server.h"

#include <gtest/gtest.h>

namespace pomelohoist::inner {
namespace {

using namespace std::chrono_literals;

constexpr auto call_timeout = 3000ms;

class chunk_sender : public stream_handler {
  public:
    void handle_stream(const packet& first, frame_channel& channel) override {
        const result<cancel_request> request = decode_body<cancel_request>(first);
        if (!request) {
            return;
        }
        for (std::uint64_t i = 0; i < request->target.number; ++i) {
            channel.send(run_chunk{request->target, i, std::string(i, 'x')});
        }
        channel.send(run_end{request->target, request->target.number, std::nullopt, ""});
    }
};

// Guards against frames that are lost, truncated or reordered on a connection.
TEST(frame_channel_test, carries_frames_in_order) {
    constexpr std::uint64_t chunk_count = 300;
    chunk_sender handler;
    stream_listener listener{{"127.0.0.1", 0}};
    stream_server server{listener, "server", handler};
    auto channel = frame_channel::connect(listener.local_address(), "client", call_timeout);
    ASSERT_TRUE(channel);
    ASSERT_TRUE(channel->send(cancel_request{{1, chunk_count}, false}));
    for (std::uint64_t i = 0; i < chunk_count; ++i) {
        const auto received = channel->receive(call_timeout);
        ASSERT_TRUE(received) << received.last_error().reason;
        const auto chunk = decode_body<run_chunk>(*received);
        ASSERT_TRUE(chunk);
        EXPECT_EQ(chunk->number, i);
        EXPECT_EQ(chunk->data.size(), i);
    }
    const auto last = channel->receive(call_timeout);
    ASSERT_TRUE(last);
    EXPECT_EQ(last->type, message_type::run_end);
    const auto after = channel->receive(call_timeout);
    ASSERT_FALSE(after);
    EXPECT_EQ(after.last_error().kind, error_kind::unreachable);
}

} // namespace
} // namespace pomelohoist::inner
