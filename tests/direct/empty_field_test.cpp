#include "direct_fixture.h"

#include <gtest/gtest.h>

/// Tests of fields that are empty or zero, where a missing one says something else.
namespace pomelohoist {
namespace {

using test_support::field_of;
using test_support::full_response_to;
using test_support::scripted_endpoint;
using test_support::scripted_response;

// Guards against bodies of any size at an entry whose declaration allows none.
TEST(empty_field_test, a_limit_of_zero_bytes_is_a_limit) {
    scripted_endpoint endpoint{
        [](const std::string& request, std::size_t) { return scripted_response{full_response_to(request, 200, "x")}; }};
    direct_entry entry{{endpoint.address()}};
    routing_content content = test_routing(7);
    content.limits.body_bytes = 0;
    entry.state.apply_routing(content);
    EXPECT_EQ(entry.call("POST", "/unsafe/x", "p").status, 413);
    EXPECT_TRUE(endpoint.requests().empty());
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
    entry.state.apply_routing(test_routing(8));
    EXPECT_EQ(entry.call("POST", "/unsafe/x", "p").status, 200);
}

// Guards against a success that is forwarded although its signature is empty.
TEST(empty_field_test, an_empty_signature_signs_nothing) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        const std::string id = field_of(request, "X-Pomelohoist-Attempt-Id");
        return scripted_response{"HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + id +
                                 "\r\nX-Pomelohoist-Response-Stamp: \r\nContent-Length: 4\r\n\r\nbody"};
    }};
    direct_entry entry{{endpoint.address()}};
    EXPECT_EQ(entry.call("POST", "/unsafe/x", "p").status, 502);
    EXPECT_EQ(entry.call("GET", "/stream/x").status, 502);
}

} // namespace
} // namespace pomelohoist
