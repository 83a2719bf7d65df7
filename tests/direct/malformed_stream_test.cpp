#include "direct_fixture.h"

#include <gtest/gtest.h>

#include <chrono>
#include <sstream>
#include <string>
#include <vector>

/// Streams with bytes that are no event.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using test_support::field_of;
using test_support::http_response;
using test_support::scripted_endpoint;
using test_support::scripted_response;

constexpr int last_event = 6;

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

std::string events(int first, int last) {
    std::string all;
    for (int id = first; id <= last; ++id) {
        all += event(id);
    }
    return all;
}

std::string chunk(const std::string& data) {
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

std::string stream_head(const std::string& request) {
    return "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
           "\r\nX-Pomelohoist-Response-Stamp: signed\r\nTransfer-Encoding: chunked\r\n\r\n";
}

struct malformed_case {
    std::string name;
    std::string bytes;
};

std::vector<malformed_case> malformed_cases() {
    using namespace std::string_literals;
    return {
        {"random bytes with a blank line", "\x80\x11\xfe garble\n\nmore\n\n"},
        {"random bytes without a blank line", "\x01\x02\x03\x04"},
        {"text without a field name", "no event at all\n\n"},
        {"the beginning of a line that no field has", "xyz"},
        {"an unknown field", "id: 3\ndata: piece 3\nnoise: x\n\n"},
        {"a field name with a space", "id : 3\ndata: piece 3\n\n"},
        {"data without an id", "data: noise\n\n"},
        {"an id without data", "id: 3\n\n"},
        {"empty data", "id: 3\ndata:\n\n"},
        {"an empty id", "id:\ndata: noise\n\n"},
        {"an id that is no number", "id: x3\ndata: noise\n\n"},
        {"an id with a sign", "id: +3\ndata: noise\n\n"},
        {"an id with a fraction", "id: 3.5\ndata: noise\n\n"},
        {"an id beyond 64 bits", "id: 99999999999999999999999\ndata: noise\n\n"},
        {"two ids", "id: 3\nid: 4\ndata: noise\n\n"},
        {"an id that goes back", "id: 1\ndata: piece 1\n\n"},
        {"an id that comes twice", "id: 2\ndata: piece 2\n\n"},
        {"blank lines", "\n\n\n"},
        {"blank lines of another kind", "\r\n\r\n"},
        {"a comment", ": noise\n\n"},
        {"a comment within an event", "id: 3\n: noise\ndata: piece 3\n\n"},
        {"a null byte", "id: 3\ndata: a\0b\n\n"s},
        {"a control character", "id: 3\ndata: \x1b[2J\n\n"},
        {"a carriage return within a line", "id: 3\ndata: a\rb\n\n"},
        {"bytes that are no UTF-8", "id: 3\ndata: \xff\xfe\n\n"},
        {"a UTF-8 character that is cut off", "id: 3\ndata: \xe2\x82\n\n"},
        {"an overlong UTF-8 character", "id: 3\ndata: \xc0\xaf\n\n"},
        {"a retry time that is no number", "id: 3\nretry: soon\ndata: noise\n\n"},
        {"a head of a response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
        {"an event of more than 256 KB", "id: 3\ndata: " + std::string(300000, 'n') + "\n\n"},
    };
}

/// Sends two events and then the bytes; a resumed stream gets the other events.
scripted_response stream_with(const std::string& bytes, const std::string& request, bool is_endless) {
    if (!field_of(request, "Last-Event-Id").empty()) {
        const int first = std::stoi(field_of(request, "Last-Event-Id")) + 1;
        return scripted_response{stream_head(request) + chunk(events(first, last_event)) + "0\r\n\r\n"};
    }
    scripted_response response{stream_head(request) + chunk(events(1, 2)) + chunk(bytes)};
    response.hangs = !is_endless;
    response.endless = is_endless ? chunk(bytes) : "";
    return response;
}

void expect_whole_stream(const std::string& bytes, const std::string& name, bool is_endless) {
    const auto serve = [&](const std::string& request, std::size_t) { return stream_with(bytes, request, is_endless); };
    scripted_endpoint first{serve};
    scripted_endpoint second{serve};
    direct_entry entry{{first.address(), second.address()}};
    const auto began = std::chrono::steady_clock::now();
    const http_response response = entry.call("POST", "/stream/x", "p", {{"X-Pomelohoist-Deadline-Ms", "2000"}});
    EXPECT_LT(std::chrono::steady_clock::now() - began, 1s) << name; // half of the time that the caller has
    EXPECT_EQ(response.status, 200) << name;
    EXPECT_TRUE(response.complete) << name;
    EXPECT_EQ(response.body, events(1, last_event)) << name;
}

// Guards against bytes that are no event in a response to the caller, and against a stream that waits for more of them
// instead of being resumed at another endpoint.
TEST(malformed_stream_test, bytes_that_are_no_event_are_not_forwarded) {
    for (const malformed_case& each : malformed_cases()) {
        expect_whole_stream(each.bytes, each.name, false);
    }
}

// Guards against the same when the endpoint repeats the bytes until the entry closes the connection.
TEST(malformed_stream_test, endless_bytes_that_are_no_event_are_not_forwarded) {
    for (const malformed_case& each : malformed_cases()) {
        expect_whole_stream(each.bytes, each.name, true);
    }
}

// Guards against a check that breaks off streams of sound events, in whatever pieces their bytes arrive.
TEST(malformed_stream_test, all_forms_of_sound_events_are_forwarded) {
    const std::string sound = "id: 1\ndata: first line\ndata: second line\n\n"
                              "id:2\r\nevent: token\r\ndata:no space\r\n\r\n"
                              "retry: 100\nid: 3\ndata: \xe2\x82\xac \xf0\x9f\x8d\x8a\t{\"a\": \"b: c\"}\n\n"
                              "data: the id follows\nid: 40\n\n"
                              "id: 41\ndata\ndata: an empty line before\n\n";
    for (std::size_t size = 1; size <= sound.size(); size = size < 8 ? size + 1 : size * 2) {
        scripted_endpoint endpoint{[&](const std::string& request, std::size_t) {
            std::string bytes = stream_head(request);
            for (std::size_t at = 0; at < sound.size(); at += size) {
                bytes += chunk(sound.substr(at, size));
            }
            return scripted_response{bytes + "0\r\n\r\n"};
        }};
        direct_entry entry{{endpoint.address()}};
        const http_response response = entry.call("POST", "/stream/x", "p");
        EXPECT_TRUE(response.complete);
        EXPECT_EQ(response.body, sound) << "pieces of " << size;
        EXPECT_EQ(endpoint.requests().size(), 1U);
    }
}

} // namespace
} // namespace pomelohoist
