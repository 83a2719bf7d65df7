#include "direct_fixture.h"

#include <gtest/gtest.h>

/// Tests of fields that are empty or zero, where a missing one says something else.
namespace pomelohoist {
namespace {

using test_support::field_of;
using test_support::full_response_to;
using test_support::scripted_endpoint;
using test_support::scripted_response;

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
