#include "direct_fixture.h"
#include "support/raw_exchange.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

/// Request bodies that pause, end early or are malformed.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::field_of;
using test_support::full_response_to;
using test_support::scripted_endpoint;
using test_support::scripted_response;

scripted_response sound(const std::string& request, std::size_t /*number*/) {
    return {test_support::full_response_to(request, 200, "body")};
}

/// Sends the pieces with a pause before each but the first.
/// @returns the response, or "" when the connection is closed without one
std::string send_pieces(const net_address& entry, const std::string& framing, const std::vector<std::string>& pieces,
                        std::chrono::milliseconds pause, bool closes = false) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{entry.ip, entry.port}};
    socket.setReceiveTimeout(Poco::Timespan{15, 0});
    const std::string head = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\n"
                             "X-Pomelohoist-Attempt-Id: a-1\r\nX-Pomelohoist-Deadline-Ms: 8000\r\n" +
                             framing + "\r\n\r\n";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        std::this_thread::sleep_for(i == 0 ? 0ms : pause);
        socket.sendBytes(pieces[i].data(), static_cast<int>(pieces[i].size()));
    }
    if (closes) {
        socket.shutdownSend();
    }
    std::string response(4096, '\0');
    response.resize(static_cast<std::size_t>(std::max(socket.receiveBytes(response.data(), 4096), 0)));
    return response;
}

/// Lets requests last longer than the pauses.
void extend_timeouts(direct_entry& entry) {
    routing_content content = test_routing(4);
    for (route& declared : content.routes) {
        declared.timeout_ms = 8000;
    }
    entry.state.apply_routing(content);
}

const std::string chunked = "Transfer-Encoding: chunked";
const std::string of_length = "Content-Length: 10";

} // namespace

// Guards against a pause that is taken for the end of a body: the endpoint would run a truncated request, and the rest
// of the body would be read as the next request.
TEST(paused_body_test, a_body_that_pauses_is_read_whole) {
    const std::vector<std::vector<std::string>> bodies{{"5\r\nhello\r\n", "5\r\nworld\r\n0\r\n\r\n"},
                                                       {"5\r\nhello", "\r\n5\r\nworld\r\n0\r\n\r\n"},
                                                       {"5\r\nhel", "lo\r\n5\r\nworld\r\n0\r\n\r\n"},
                                                       {"5\r\nhello\r\n5\r\nworld\r\n0\r\n", "\r\n"}};
    std::vector<std::thread> callers;
    callers.reserve(bodies.size() + 1);
    for (const std::vector<std::string>& pieces : bodies) {
        callers.emplace_back([&pieces] {
            scripted_endpoint endpoint{sound};
            direct_entry entry{{endpoint.address()}};
            extend_timeouts(entry);
            const std::string response = send_pieces(entry.address, chunked, pieces, 3500ms);
            EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
            ASSERT_EQ(endpoint.requests().size(), 1U);
            EXPECT_TRUE(endpoint.requests().front().ends_with("\r\n\r\nhelloworld"));
        });
    }
    callers.emplace_back([] {
        scripted_endpoint endpoint{sound};
        direct_entry entry{{endpoint.address()}};
        extend_timeouts(entry);
        const std::string response = send_pieces(entry.address, of_length, {"hello", "world"}, 3500ms);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
        ASSERT_EQ(endpoint.requests().size(), 1U);
        EXPECT_TRUE(endpoint.requests().front().ends_with("\r\n\r\nhelloworld"));
    });
    for (std::thread& caller : callers) {
        caller.join();
    }
}

// Guards against running a request whose body is truncated or malformed.
TEST(paused_body_test, an_incomplete_body_does_not_run) {
    struct incomplete_case {
        std::string framing;
        std::string body;
        bool closes;
        std::string status;
    };
    const std::vector<incomplete_case> cases{{chunked, "5\r\nhello\r\n", true, "400"},
                                             {chunked, "5\r\nhel", true, "400"},
                                             {chunked, "5\r\nhello\r\nzz\r\nworld\r\n0\r\n\r\n", false, "400"},
                                             {chunked, "5\r\nhelloworld\r\n0\r\n\r\n", false, "400"},
                                             {chunked, "-5\r\nhello\r\n0\r\n\r\n", false, "400"},
                                             {chunked, "5\r\nhello\r\n0\r\n", true, "400"},
                                             {of_length, "hello", true, "400"},
                                             {chunked, "5\r\nhello\r\n", false, "408"},
                                             {of_length, "hello", false, "408"}};
    std::vector<std::thread> callers;
    callers.reserve(cases.size());
    for (const incomplete_case& each : cases) {
        callers.emplace_back([&each] {
            scripted_endpoint endpoint{sound};
            direct_entry entry{{endpoint.address()}};
            const std::string response = send_pieces(entry.address, each.framing, {each.body}, 0ms, each.closes);
            EXPECT_TRUE(response.starts_with("HTTP/1.1 " + each.status)) << each.body << response;
            EXPECT_TRUE(endpoint.requests().empty()) << each.body;
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
}

// Guards against a request that is lost, or answered in the place of another, because it was sent together with the end
// of a chunked body.
TEST(paused_body_test, a_request_behind_a_chunked_body_is_answered_in_its_turn) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        return scripted_response{
            full_response_to(request, 200, "body of " + field_of(request, "X-Pomelohoist-Attempt-Id"))};
    }};
    direct_entry entry{{endpoint.address()}};
    const std::string fields = " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Pomelohoist-Attempt-Id: ";
    const std::string response = test_support::exchange_raw(
        entry.address, "POST /unsafe/x" + fields +
                           "first\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + "GET /safe/x" +
                           fields + "second\r\nConnection: close\r\n\r\n");
    ASSERT_EQ(endpoint.requests().size(), 2U) << response;
    EXPECT_TRUE(endpoint.requests()[0].ends_with("\r\n\r\nhello")) << endpoint.requests()[0];
    EXPECT_EQ(field_of(endpoint.requests()[1], "X-Pomelohoist-Attempt-Id"), "second");
    const std::size_t first_end = response.find("body of first");
    ASSERT_NE(first_end, std::string::npos) << response;
    EXPECT_TRUE(response.ends_with("body of second")) << response;
    EXPECT_TRUE(response.substr(first_end + std::string{"body of first"}.size()).starts_with("HTTP/1.1 200"))
        << response;
}

} // namespace pomelohoist
