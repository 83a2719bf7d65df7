#include "direct_fixture.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>
#include <string>
#include <vector>

/// Streams during which the weights of their endpoint change.
namespace pomelohoist {
namespace {

using test_support::field_of;
using test_support::http_response;
using test_support::scripted_endpoint;
using test_support::scripted_response;

constexpr const char* version_field = "x-pomelohoist-weight-versions:";

std::string chunk(const std::string& data) {
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

/// @param first_line of the event, or ""
std::string event(int id, const std::string& first_line = "") {
    return first_line + "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

/// @returns a stream whose weights change at the third event, and again at the fourth
std::string stream_of_three_versions() {
    return event(1) + event(2) + event(3, std::string{version_field} + " 8\n") +
           event(4, std::string{version_field} + "12\r\n") + event(5);
}

std::string stream_head(const std::string& request) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelohoist-Attempt-Id: " +
           field_of(request, "X-Pomelohoist-Attempt-Id") +
           "\r\nX-Pomelohoist-Response-Stamp: signed\r\nX-Pomelohoist-Weight-Versions: 7\r\n";
}

/// Adds a route whose streams cannot be resumed.
void add_live_route(direct_entry& entry) {
    routing_content content = test_routing(4);
    content.routes.push_back(test_route("/live/", retry_policy::stream, 1));
    content.routes.back().can_resume = false;
    entry.state.apply_routing(content);
}

struct framed_stream {
    std::string name;
    std::string framing; ///< fields and blank line
    std::string body;
    bool closes{false};
};

std::vector<framed_stream> framings() {
    const std::string whole = stream_of_three_versions();
    std::vector<framed_stream> all{
        {"length", "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n", whole},
        {"until the connection closes", "\r\n", whole, true},
    };
    for (std::size_t size = 1; size <= whole.size(); size = size < 8 ? size + 1 : size * 2) {
        std::string chunks;
        for (std::size_t at = 0; at < whole.size(); at += size) {
            chunks += chunk(whole.substr(at, size));
        }
        all.push_back(
            {"chunks of " + std::to_string(size), "Transfer-Encoding: chunked\r\n\r\n", chunks + "0\r\n\r\n"});
    }
    return all;
}

// Guards against streams that are cut, or run again elsewhere, when the weights of their endpoint change (review/10).
TEST(weights_version_test, a_stream_goes_on_when_the_weights_change) {
    for (const framed_stream& each : framings()) {
        for (const char* path : {"/live/x", "/stream/x"}) {
            scripted_endpoint endpoint{[&](const std::string& request, std::size_t) {
                scripted_response response{stream_head(request) + each.framing + each.body};
                response.closes = each.closes;
                return response;
            }};
            direct_entry entry{{endpoint.address()}};
            add_live_route(entry);
            const http_response response = entry.call("POST", path, "prompt");
            EXPECT_EQ(response.status, 200) << path << " " << each.name;
            EXPECT_TRUE(response.complete) << path << " " << each.name;
            EXPECT_EQ(response.body, stream_of_three_versions()) << path << " " << each.name;
            EXPECT_EQ(response.headers.at("X-Pomelohoist-Weight-Versions"), "7") << path << " " << each.name;
            EXPECT_EQ(endpoint.requests().size(), 1U) << path << " " << each.name;
        }
    }
}

// Guards against the first event of a stream, or of its resumed part, that may not name a version.
TEST(weights_version_test, a_resumed_stream_may_begin_with_another_version) {
    const auto serve = [](const std::string& request, std::size_t) {
        const bool is_resumed = !field_of(request, "Last-Event-Id").empty();
        const std::string events = is_resumed ? event(3, std::string{version_field} + " 8\n") + event(4)
                                              : event(1, std::string{version_field} + " 7\n") + event(2);
        scripted_response response{stream_head(request) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events) +
                                   (is_resumed ? "0\r\n\r\n" : "")};
        response.resets = !is_resumed;
        return response;
    };
    scripted_endpoint first{serve};
    scripted_endpoint second{serve};
    direct_entry entry{{first.address(), second.address()}};
    const http_response response = entry.call("POST", "/stream/x", "prompt");
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, event(1, std::string{version_field} + " 7\n") + event(2) +
                                 event(3, std::string{version_field} + " 8\n") + event(4));
}

// Guards against foreign bytes that pass as an event because one more field is known.
TEST(weights_version_test, the_version_is_an_integer_in_the_first_line) {
    const std::string name = version_field;
    const std::string line = name + " 8\n";
    for (const std::string& malformed : {
             "id: 3\n" + name + " 8\ndata: piece 3\n\n",
             "id: 3\ndata: piece 3\n" + name + " 8\n\n",
             event(3, line + line),
             event(3, name + " 8 \n"),
             event(3, name + "\n"),
             event(3, name + " x\n"),
             event(3, name + " 8.5\n"),
             event(3, name + " 99999999999999999999\n"),
             event(3, "x-pomelohoist-weight-versions\n"),
             event(3, "X-Pomelohoist-Weight-Versions: 8\n"),
             event(3, "x-pomelohoist-weight-version: 8\n"),
             event(3, "x-other: 8\n"),
             name + " 8\n\n",
         }) {
        scripted_endpoint endpoint{[&](const std::string& request, std::size_t) {
            return scripted_response{stream_head(request) + "Transfer-Encoding: chunked\r\n\r\n" +
                                     chunk(event(1) + event(2) + malformed) + "0\r\n\r\n"};
        }};
        direct_entry entry{{endpoint.address()}};
        add_live_route(entry);
        const http_response response = entry.call("POST", "/live/x", "prompt");
        EXPECT_FALSE(response.complete) << malformed;
        EXPECT_EQ(response.body, event(1) + event(2)) << malformed;
    }
}

} // namespace
} // namespace pomelohoist
