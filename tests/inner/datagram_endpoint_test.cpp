#include "inner/datagram_endpoint.h"

#include <gtest/gtest.h>

#include <atomic>

namespace pomelohoist::inner {
namespace {

using namespace std::chrono_literals;

constexpr auto call_timeout = 3000ms;

class echo_handler : public datagram_handler {
  public:
    payload handle_datagram(const packet& request) override {
        ++this->calls;
        const result<cancel_request> decoded = decode_body<cancel_request>(request);
        if (!decoded) {
            return to_payload(failure_response{decoded.last_error().kind, decoded.last_error().reason});
        }
        return to_payload(cancel_response{decoded->abort_running ? ticket_state::started : ticket_state::not_started});
    }

    std::atomic<int> calls{0};
};

class datagram_endpoint_test : public testing::Test {
  protected:
    datagram_endpoint_test() {
        this->server.start(&this->handler);
        this->client.start(nullptr);
    }

    system_clock time;
    echo_handler handler;
    datagram_endpoint server{{"127.0.0.1", 0}, "server", time};
    datagram_endpoint client{{"127.0.0.1", 0}, "client", time};
};

// Guards against responses that are assigned to the wrong call.
TEST_F(datagram_endpoint_test, responses_reach_their_own_calls) {
    const net_address target = this->server.local_address();
    std::vector<datagram_call> calls;
    for (std::uint64_t i = 0; i < 50; ++i) {
        calls.push_back({target, to_payload(cancel_request{{1, i}, i % 2 == 0})});
    }
    const auto responses = this->client.call_all(calls, call_timeout);
    for (std::size_t i = 0; i < responses.size(); ++i) {
        ASSERT_TRUE(responses[i]) << responses[i].last_error().reason;
        const result<cancel_response> response = decode_body<cancel_response>(*responses[i]);
        ASSERT_TRUE(response);
        EXPECT_EQ(response->state, i % 2 == 0 ? ticket_state::started : ticket_state::not_started);
    }
}

// Guards against a caller that waits for ever for a process that has exited.
TEST_F(datagram_endpoint_test, reports_timeout_of_a_closed_port) {
    net_address closed;
    {
        datagram_endpoint exited{{"127.0.0.1", 0}, "gone", this->time};
        closed = exited.local_address();
    }
    const auto response = call_datagram<cancel_response>(this->client, closed, cancel_request{}, 60ms);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.last_error().kind, error_kind::timeout);
}

// Guards against a receiver that crashes on a malformed datagram.
TEST_F(datagram_endpoint_test, survives_malformed_datagrams) {
    Poco::Net::DatagramSocket raw{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    const net_address target = this->server.local_address();
    const std::string noise(200, '\xff');
    raw.sendTo(noise.data(), static_cast<int>(noise.size()), Poco::Net::SocketAddress{target.ip, target.port});
    const auto response = call_datagram<cancel_response>(this->client, target, cancel_request{}, call_timeout);
    EXPECT_TRUE(response);
}

} // namespace
} // namespace pomelohoist::inner
