#include "direct_fixture.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

/// Responses whose status line has no status code of HTTP.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::field_of;
using test_support::full_response_to;
using test_support::http_response;
using test_support::scripted_endpoint;
using test_support::scripted_response;

constexpr int calls_per_route = 4; // enough to reach each of two endpoints

const std::string event = "id: 1\ndata: sound\n\n";

/// What follows the fields of the malformed head.
enum class continuation : std::uint8_t { sized_body, closed_body, second_response, count };

std::string malformed_bytes(const std::string& status, continuation rest, const std::string& request) {
    const std::string head = "HTTP/1.1 " + status +
                             " Odd\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
                             "\r\nX-Pomelohoist-Response-Stamp: signed\r\n";
    switch (rest) {
    case continuation::sized_body:
        return head + "Content-Length: " + std::to_string(event.size()) + "\r\n\r\n" + event;
    case continuation::closed_body:
        return head + "\r\n" + event;
    case continuation::second_response:
    case continuation::count:
        break;
    }
    return head + "\r\n" + full_response_to(request, 200, event);
}

class status_line_test : public testing::TestWithParam<std::tuple<const char*, continuation>> {
  protected:
    scripted_endpoint malformed{[](const std::string& request, std::size_t) {
        scripted_response response{malformed_bytes(std::get<0>(GetParam()), std::get<1>(GetParam()), request)};
        response.closes = std::get<1>(GetParam()) == continuation::closed_body;
        return response;
    }};
    scripted_endpoint sound{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 200, event, "X-Source: sound\r\n")};
    }};
    const std::map<std::string, std::string> deadline{{"X-Pomelohoist-Deadline-Ms", "1000"}};
};

// Guards against bytes that are no response but reach the caller, and against a second head that is taken for the
// response.
TEST_P(status_line_test, an_unsafe_request_is_answered_502) {
    direct_entry entry{{this->malformed.address()}};
    const auto began = std::chrono::steady_clock::now();
    const http_response response = entry.call("POST", "/unsafe/x", "order", this->deadline);
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.body.find("sound"), std::string::npos) << response.body;
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1s);
    EXPECT_EQ(this->malformed.requests().size(), 1U);
}

// Guards against the same on routes whose requests may be sent again.
TEST_P(status_line_test, safe_requests_and_streams_are_sent_to_another_endpoint) {
    for (const char* path : {"/safe/x", "/stream/x"}) {
        const std::size_t before = this->malformed.requests().size();
        direct_entry entry{{this->malformed.address(), this->sound.address()}};
        for (int i = 0; i < calls_per_route; ++i) {
            const http_response response = entry.call("POST", path, "prompt", this->deadline);
            EXPECT_EQ(response.status, 200) << path;
            EXPECT_EQ(response.body, event) << path;
            EXPECT_EQ(response.headers.count("X-Source"), 1U) << path;
        }
        EXPECT_GT(this->malformed.requests().size(), before) << path;
    }
}

INSTANTIATE_TEST_SUITE_P(malformed, status_line_test,
                         testing::Combine(testing::Values("000", "099", "101", "600", "999", "2000", "+200", "20x",
                                                          "20", ""),
                                          testing::Values(continuation::sized_body, continuation::closed_body,
                                                          continuation::second_response)));

// Guards against interim and final responses that are rejected together with the malformed ones.
TEST(status_line_range_test, responses_of_http_are_forwarded) {
    for (const int status : {200, 299, 404, 499}) {
        scripted_endpoint endpoint{[status](const std::string& request, std::size_t) {
            return scripted_response{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 \r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                     "Link: </a>\r\n\r\n" +
                                     full_response_to(request, status, "body")};
        }};
        direct_entry entry{{endpoint.address()}};
        const http_response response = entry.call("POST", "/unsafe/x", "order");
        EXPECT_EQ(response.status, status);
        EXPECT_EQ(response.body, "body");
    }
}

// Guards against a status line without a reason that is rejected.
TEST(status_line_range_test, the_reason_may_be_missing) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        std::string bytes = full_response_to(request, 200, "body");
        return scripted_response{bytes.replace(0, bytes.find('\r'), "HTTP/1.1 200")};
    }};
    direct_entry entry{{endpoint.address()}};
    EXPECT_EQ(entry.call("POST", "/unsafe/x", "order").status, 200);
}

} // namespace
} // namespace pomelohoist
