#include "direct_fixture.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace pomelohoist;
using namespace pomelohoist::test_support;
using namespace std::chrono_literals;

namespace {

/// Sends a request and returns the bytes of the response until the entry closes the connection.
std::string raw_call_as(direct_entry& entry, const std::string& id) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{entry.address.ip, entry.address.port}};
    const std::string request = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nConnection: close\r\n"
                                "X-Pomelohoist-Attempt-Id: " +
                                id + "\r\nX-Pomelohoist-Deadline-Ms: 300\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    std::array<char, 4096> buffer{};
    for (int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())); count > 0;
         count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()))) {
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return received;
}

std::size_t occurrences(const std::string& text, const std::string& part) {
    std::size_t number = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++number;
    }
    return number;
}

http_response call_as(direct_entry& entry, const std::string& id) {
    return entry.call("GET", "/safe/x", "", {{"X-Pomelohoist-Attempt-Id", id}, {"X-Pomelohoist-Deadline-Ms", "600"}});
}

std::string response_to(const std::string& request, const std::string& body) {
    return full_response_to(request, 200, body);
}

} // namespace

// Guards against a response that reaches the next caller on a reused connection: a second copy of the first response,
// cut off at any byte, comes before the second response.
TEST(late_copy_test, no_part_of_a_copy_reaches_the_next_caller) {
    // The signature comes before the id, so that a cut between them leaves a signature of unknown origin.
    const std::string sample =
        "HTTP/1.1 200 OK\r\nX-Pomelohoist-Response-Stamp: stale\r\nX-Pomelohoist-Attempt-Id: first\r\n"
        "Content-Length: 13\r\n\r\nbody of first";
    for (std::size_t length = 1; length <= sample.size(); length += 2) {
        scripted_endpoint endpoint{[&sample, length](const std::string& request, std::size_t number) {
            const std::string own = response_to(request, "body of " + field_of(request, "X-Pomelohoist-Attempt-Id"));
            return scripted_response{number == 1 ? sample.substr(0, length) + own : own};
        }};
        direct_entry entry{{endpoint.address()}};
        ASSERT_EQ(call_as(entry, "first").body, "body of first");
        const std::string second = raw_call_as(entry, "second");
        EXPECT_EQ(occurrences(second, "body of first"), 0U) << "cut after " << length;
        if (second.starts_with("HTTP/1.1 200")) {
            EXPECT_TRUE(second.ends_with("body of second")) << "cut after " << length;
            EXPECT_EQ(occurrences(second, "X-Pomelohoist-Response-Stamp: "), 1U) << "cut after " << length;
            EXPECT_EQ(occurrences(second, "X-Pomelohoist-Response-Stamp: signed\r\n"), 1U) << "cut after " << length;
        }
    }
}

namespace {

/// Plays a response that comes behind the first `length` bytes of a copy of the one before it, which had another
/// status.
void expect_own_status(const std::string& copy, std::size_t length, int stale, int own) {
    scripted_endpoint endpoint{[&](const std::string& request, std::size_t number) {
        return number == 0 ? scripted_response{full_response_to(request, stale, "first")}
                           : scripted_response{copy.substr(0, number == 1 ? length : 0) +
                                               full_response_to(request, own, "second")};
    }};
    direct_entry entry{{endpoint.address()}};
    ASSERT_EQ(call_as(entry, "first").status, stale);
    const http_response second = call_as(entry, "second");
    // 502: the head is refused, and no other endpoint is left.
    EXPECT_TRUE(second.status == own || second.status == 502) << second.status << ", cut after " << length;
    EXPECT_TRUE(second.status == 502 || second.body == "second") << second.body << ", cut after " << length;
}

std::string begin_of_copy(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " Stale\r\nContent-Type: text/plain\r\n";
}

} // namespace

// Guards against a response that gets the status of the one before it on a kept connection: a copy of that one, cut off
// at the end of a line, comes before the response (review/9).
TEST(late_copy_test, no_line_of_a_copy_gives_the_next_response_its_status) {
    for (const auto& [stale, own] : std::vector<std::pair<int, int>>{{404, 200}, {200, 404}}) {
        const std::string copy = begin_of_copy(stale);
        for (std::size_t end = copy.find("\r\n"); end != std::string::npos; end = copy.find("\r\n", end + 1)) {
            expect_own_status(copy, end + 2, stale, own);
        }
    }
}

// The same with a copy that is cut off within a line, so that the next status line is the rest of that line.
TEST(late_copy_test, no_part_of_a_line_gives_the_next_response_its_status) {
    for (const auto& [stale, own] : std::vector<std::pair<int, int>>{{404, 200}, {200, 404}}) {
        const std::string copy = begin_of_copy(stale);
        for (std::size_t length = 1; length < copy.size(); ++length) {
            if (copy[length - 1] != '\n') {
                expect_own_status(copy, length, stale, own);
            }
        }
    }
}

// The same with a copy that comes while the connection is idle.
TEST(late_copy_test, a_connection_with_a_copy_is_not_used_again) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t number) {
        const std::string own = response_to(request, "body of " + field_of(request, "X-Pomelohoist-Attempt-Id"));
        return scripted_response{number == 0 ? own + own : own};
    }};
    direct_entry entry{{endpoint.address()}};
    ASSERT_EQ(call_as(entry, "first").body, "body of first");
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(call_as(entry, "second").body, "body of second");
    EXPECT_EQ(endpoint.connections(), 2U);
}
