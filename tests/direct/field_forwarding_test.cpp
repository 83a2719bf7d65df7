#include "direct_fixture.h"
#include "support/raw_exchange.h"

#include "platform/base64.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

/// Fields of requests and responses on their way through an entry that forwards directly.
namespace pomelohoist {
namespace {

using test_support::exchange_raw;
using test_support::field_of;
using test_support::full_response_to;
using test_support::has_line;
using test_support::head_lines;
using test_support::scripted_endpoint;
using test_support::scripted_response;

const std::vector<std::string> routes{"/safe/x", "/unsafe/x", "/stream/x"};
const std::string event = "id: 1\ndata: sound\n\n";
constexpr std::size_t max_shown_bytes = 400; // of a message, when a check fails

std::string encoded_word(const std::string& text) {
    return "=?UTF-8?B?" + encode_base64(text) + "?=";
}

/// @returns text that would be two fields, or a whole request, if it were written as it is
std::vector<std::string> texts_with_line_ends() {
    return {
        "first\r\n\r\nsecond", "x\r\nX-Pomelohoist-Tenant: other\r\nX-More: y", "x\nX-Pomelohoist-Tenant: other",
        "x\r\nContent-Length: 0\r\n\r\nPOST /unsafe/forged HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"};
}

/// @returns field lines that the pages allow
std::vector<std::string> sound_lines() {
    std::vector<std::string> lines{
        "X-Word: =?UTF-8?Q?caf=C3=A9?=",
        "X-Broken-Word: =?UTF-8?B?!!?= and =?unknown?X?text?=",
        "X-Quoted-Line-End: =?ISO-8859-1?Q?a=0D=0AX-Forged:_1?=",
        "X-Utf-8: caf\xc3\xa9",
        "X-Latin-1: caf\xe9",
        "X-Tab: a\tb  c",
        "X-Empty: ",
        "X-Percent: a%0D%0AX-Forged: 1",
        "X-Quotes: \"a\\\"b\", (comment)",
        "X-Long: " + std::string(12000, 'v'),
        "X-Twice: first",
        "x-twice: second",
        "X-Twice: first",
        std::string(300, 'N') + ": a long name",
        "!#$%&'*+-.^_`|~1: marks",
    };
    for (const std::string& text : texts_with_line_ends()) {
        lines.push_back("X-Note: " + encoded_word(text));
    }
    for (int i = 0; i < 150; ++i) {
        lines.push_back("X-Field-" + std::to_string(i) + ": " + std::to_string(i));
    }
    return lines;
}

std::string join(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
        text += line + "\r\n";
    }
    return text;
}

/// @returns a request whose connection ends after the response
std::string request_with(const std::string& path, const std::string& lines) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Pomelohoist-Attempt-Id: a-1\r\n"
           "X-Pomelohoist-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 6\r\n" +
           lines + "\r\nprompt";
}

/// @returns true when the head of `bytes` has the lines in this order; other lines may stand between them
testing::AssertionResult has_lines(const std::string& bytes, const std::vector<std::string>& lines) {
    std::vector<std::string> left = head_lines(bytes);
    auto from = left.begin();
    for (const std::string& line : lines) {
        from = std::find(from, left.end(), line);
        if (from == left.end()) {
            return testing::AssertionFailure() << "no line " << line.substr(0, max_shown_bytes) << " in its place in\n"
                                               << bytes.substr(0, max_shown_bytes);
        }
        ++from;
    }
    return testing::AssertionSuccess();
}

scripted_response answer(const std::string& request) {
    return scripted_response{full_response_to(request, 200, event)};
}

// Guards against text in an encoded word that becomes fields, bodies and whole requests at the endpoint (review/6).
TEST(field_forwarding_test, text_in_an_encoded_word_stays_in_its_field) {
    for (const std::string& path : routes) {
        scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
        direct_entry entry{{endpoint.address()}};
        for (const std::string& text : texts_with_line_ends()) {
            const std::string line = "X-Note: " + encoded_word(text);
            const std::size_t before = endpoint.requests().size();
            EXPECT_TRUE(exchange_raw(entry.address, request_with(path, line + "\r\n")).starts_with("HTTP/1.1 200"));
            ASSERT_EQ(endpoint.requests().size(), before + 1) << path << " " << text;
            const std::string request = endpoint.requests().back();
            EXPECT_TRUE(has_line(request, line)) << request;
            EXPECT_TRUE(request.ends_with("\r\n\r\nprompt")) << request;
            EXPECT_EQ(field_of(request, "X-Pomelohoist-Tenant"), "w") << request;
        }
    }
}

// Guards against fields of a request that are decoded, cut, merged, dropped or refused although the pages allow them.
TEST(field_forwarding_test, fields_of_a_request_reach_the_endpoint_byte_for_byte) {
    const std::vector<std::string> lines = sound_lines();
    for (const std::string& path : routes) {
        scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
        direct_entry entry{{endpoint.address()}};
        const std::string response = exchange_raw(entry.address, request_with(path, join(lines)));
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response.substr(0, 500);
        ASSERT_EQ(endpoint.requests().size(), 1U) << path;
        EXPECT_TRUE(has_lines(endpoint.requests().front(), lines)) << path;
    }
}

// Guards against a prompt's fields that are decoded, so that the endpoint runs another prompt than the caller's.
TEST(field_forwarding_test, fields_that_the_entry_reads_are_not_changed) {
    const std::vector<std::string> lines{
        "X-Pomelohoist-Model: =?UTF-8?Q?other?=", "X-Pomelohoist-Token-Counts: =?UTF-8?Q?9=2C9?=",
        "X-Pomelohoist-Prefix-Hash: =?UTF-8?B?YTox?=", "Last-Event-Id: =?UTF-8?Q?7?="};
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
    direct_entry entry{{endpoint.address()}};
    for (const std::string& path : routes) {
        EXPECT_TRUE(exchange_raw(entry.address, request_with(path, join(lines))).starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(has_lines(endpoint.requests().back(), lines)) << path;
    }
}

/// Forms of a response's body; each way reads its head, and writes the head for the caller, on its own.
enum class body_form : std::uint8_t { sized, chunked, unframed, resumed, failed, count };

std::string response_with(body_form form, const std::string& lines, const std::string& request) {
    const std::string status = form == body_form::failed ? "500 Failed" : "200 OK";
    const std::string head = "HTTP/1.1 " + status +
                             "\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
                             "\r\nX-Pomelohoist-Response-Stamp: signed\r\n" + lines;
    const std::string chunks = "13\r\n" + event + "\r\n";
    switch (form) {
    case body_form::sized:
    case body_form::failed:
        return head + "Content-Length: " + std::to_string(event.size()) + "\r\n\r\n" + event;
    case body_form::chunked:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
    case body_form::resumed:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
    case body_form::unframed:
    case body_form::count:
        break;
    }
    return head + "\r\n" + event;
}

scripted_response respond(body_form form, const std::string& lines, const std::string& request) {
    if (form == body_form::resumed && !field_of(request, "Last-Event-Id").empty()) {
        return scripted_response{"HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: a-1\r\n"
                                 "X-Pomelohoist-Response-Stamp: second\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "13\r\nid: 2\ndata: sound\n\n\r\n0\r\n\r\n"};
    }
    scripted_response response{response_with(form, lines, request)};
    response.closes = form == body_form::unframed;
    response.resets = form == body_form::resumed;
    return response;
}

// Guards against fields of a response that are decoded into lines, cut, merged or dropped, and against a sound response
// that is refused for them.
TEST(field_forwarding_test, fields_of_a_response_reach_the_caller_byte_for_byte) {
    std::vector<std::string> lines = sound_lines();
    lines.push_back("Date: Tue, 01 Dec 2026 08:00:00 GMT");
    lines.push_back("Set-Cookie: a=1");
    lines.push_back("Set-Cookie: b=2");
    for (int form = 0; form < static_cast<int>(body_form::count); ++form) {
        for (const std::string& path : routes) {
            if (static_cast<body_form>(form) == body_form::resumed && path != "/stream/x") {
                continue;
            }
            const auto serve = [&](const std::string& request, std::size_t) {
                return respond(static_cast<body_form>(form), join(lines), request);
            };
            scripted_endpoint first{serve};
            scripted_endpoint second{serve};
            direct_entry entry{{first.address(), second.address()}};
            const std::string response = exchange_raw(entry.address, request_with(path, ""));
            EXPECT_TRUE(has_lines(response, lines)) << path << " " << form;
            EXPECT_FALSE(has_line(response, "X-Forged: 1")) << path << " " << form;
        }
    }
}

// Guards against bytes that one reader takes for the end of a line and another for a part of it.
TEST(field_forwarding_test, malformed_heads_of_requests_are_refused) {
    using namespace std::string_literals;
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
    direct_entry entry{{endpoint.address()}};
    const std::vector<std::string> malformed{
        "X-Note: a\nX-Forged: 1\r\n"s,
        "X-Note: a\rX-Forged: 1\r\n"s,
        "X-Note: a\r\n folded\r\n"s,
        "X-Note: a\r\n\tfolded\r\n"s,
        "X-Note: a\0b\r\n"s,
        "X-Note: a\x1b[2J\r\n"s,
        "X-Note: a\x7f\r\n"s,
        "X-Note : a\r\n"s,
        "no field\r\n"s,
        ": no name\r\n"s,
        "X Note: a\r\n"s,
        "X-N\xc3\xb6te: a\r\n"s,
        "Transfer-Encoding: chunked\r\n"s,
        "Transfer-Encoding: gzip\r\n"s,
        "Content-Length: 6\r\n"s,
        "HTTP/1.1 200 OK\r\n"s,
        "Host: other.example\r\n"s,
    };
    for (const std::string& lines : malformed) {
        for (const std::string& path : routes) {
            const std::string response = exchange_raw(entry.address, request_with(path, lines));
            EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << path << " " << lines << "\n" << response;
            EXPECT_NE(response.find("bad_request"), std::string::npos) << lines << "\n" << response;
        }
    }
    for (const std::string length : {"+6", "-6", "6x", "0x6", "6, 6", "", "99999999999999999999999"}) {
        const std::string response = exchange_raw(
            entry.address, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nConnection: close\r\n"
                           "Content-Length: " +
                               length + "\r\n\r\nprompt");
        EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << length << "\n" << response;
    }
    EXPECT_TRUE(endpoint.requests().empty());
}

// Guards against request lines that reach an endpoint as another request than the caller's.
TEST(field_forwarding_test, malformed_request_lines_are_refused) {
    using namespace std::string_literals;
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
    direct_entry entry{{endpoint.address()}};
    const std::string fields = " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n";
    for (const std::string& line : {"GET /safe/x y"s, "GET  /safe/x"s, "GET"s, "G(T /safe/x"s, "GET /safe/\x01"s,
                                    "GET /safe/x\tz"s, "GET /safe/x HTTP/1.1"s}) {
        const std::string response = exchange_raw(entry.address, line + fields);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << line << "\n" << response;
    }
    for (const std::string& version : {"HTTP/2.0"s, "HTTP/1.x"s, "http/1.1"s, ""s}) {
        const std::string response =
            exchange_raw(entry.address, "GET /safe/x " + version + "\r\nHost: h.example\r\nX-Api-Key: key-1\r\n\r\n");
        EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << version << "\n" << response;
    }
    EXPECT_TRUE(endpoint.requests().empty());
}

// Guards against the same in responses: a line that is dropped, or a value that becomes a line, for the caller.
TEST(field_forwarding_test, malformed_heads_of_responses_are_no_responses) {
    using namespace std::string_literals;
    for (const std::string& lines : {"X-Note: a\nX-Forged: 1\r\n"s, "X-Note: a\rX-Forged: 1\r\n"s,
                                     "X-Note: a\r\n folded\r\n"s, "X-Note: a\0b\r\n"s, "X-Note: a\x1b[2J\r\n"s,
                                     "X-Note : a\r\n"s, "no field\r\n"s, ": no name\r\n"s, "HTTP/1.1 200 OK\r\n"s}) {
        for (const std::string& path : routes) {
            scripted_endpoint endpoint{[&](const std::string& request, std::size_t) {
                return scripted_response{full_response_to(request, 200, event, lines)};
            }};
            direct_entry entry{{endpoint.address()}};
            const std::string response = exchange_raw(entry.address, request_with(path, ""));
            EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << path << " " << lines << "\n" << response;
            EXPECT_EQ(response.find("X-Forged"), std::string::npos) << lines << "\n" << response;
        }
    }
}

// Guards against a later request on the connection that is read from the wrong byte on, and against one that is lost.
TEST(field_forwarding_test, requests_on_one_connection_are_read_one_after_the_other) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
    direct_entry entry{{endpoint.address()}};
    const std::string fields = " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Pomelohoist-Attempt-Id: a-1\r\n";
    const std::string response = exchange_raw(
        entry.address, "\r\nPOST /safe/1" + fields + "Content-Length: 3\r\n\r\none" + "POST /safe/2" + fields +
                           "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\ntwo\r\n0\r\nX-Sum: 1\r\n\r\n" + "GET /safe/3" +
                           fields + "Connection: close\r\n\r\n");
    ASSERT_EQ(endpoint.requests().size(), 3U) << response;
    EXPECT_TRUE(endpoint.requests()[0].starts_with("POST /safe/1 ")) << endpoint.requests()[0];
    EXPECT_TRUE(endpoint.requests()[0].ends_with("\r\n\r\none")) << endpoint.requests()[0];
    EXPECT_TRUE(endpoint.requests()[1].starts_with("POST /safe/2 ")) << endpoint.requests()[1];
    EXPECT_TRUE(endpoint.requests()[1].ends_with("\r\n\r\ntwo")) << endpoint.requests()[1];
    EXPECT_TRUE(endpoint.requests()[2].starts_with("GET /safe/3 ")) << endpoint.requests()[2];
}

// Guards against a deadline that is refused since it is longer than a number of 32 or 64 bits can say.
TEST(field_forwarding_test, any_decimal_number_is_a_deadline) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) { return answer(request); }};
    direct_entry entry{{endpoint.address()}};
    const auto call_with = [&entry](const std::string& deadline) {
        return exchange_raw(entry.address, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nConnection: "
                                           "close\r\nX-Pomelohoist-Attempt-Id: a-1\r\nX-Pomelohoist-Deadline-Ms: " +
                                               deadline + "\r\n\r\n");
    };
    for (const std::string deadline :
         {"1500", "0001500", "4294967296", "18446744073709551615", "99999999999999999999"}) {
        EXPECT_TRUE(call_with(deadline).starts_with("HTTP/1.1 200")) << deadline;
        const std::string passed_on = field_of(endpoint.requests().back(), "X-Pomelohoist-Deadline-Ms");
        EXPECT_GT(std::stoi(passed_on), 0) << deadline;
        EXPECT_LE(std::stoi(passed_on), 2000) << deadline;
    }
    for (const std::string deadline : {"", "+1500", "-1", "1.5", "1500 ms", "=?UTF-8?Q?1500?="}) {
        EXPECT_TRUE(call_with(deadline).starts_with("HTTP/1.1 400")) << deadline;
    }
}

// Guards against connection fields that are forwarded since they stand in a second Connection field, or in a response.
TEST(field_forwarding_test, fields_of_one_connection_are_not_forwarded) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 200, event,
                                                  "Connection: X-Hop\r\nX-Hop: 1\r\nConnection: other, X-Far\r\n"
                                                  "X-Far: 1\r\nKeep-Alive: timeout=5\r\nX-End: 1\r\n")};
    }};
    direct_entry entry{{endpoint.address()}};
    const std::string response = exchange_raw(
        entry.address, request_with("/safe/x", "Connection: X-Hop, X-Far\r\nX-Hop: 1\r\nX-Far: 1\r\nX-End: 1\r\n"));
    ASSERT_EQ(endpoint.requests().size(), 1U);
    for (const std::string& bytes : {endpoint.requests().front(), response}) {
        EXPECT_TRUE(has_line(bytes, "X-End: 1")) << bytes;
        EXPECT_FALSE(has_line(bytes, "X-Hop: 1")) << bytes;
        EXPECT_FALSE(has_line(bytes, "X-Far: 1")) << bytes;
        EXPECT_FALSE(has_line(bytes, "Keep-Alive: timeout=5")) << bytes;
    }
}

// Guards against a response to HEAD that states another length than the endpoint.
TEST(field_forwarding_test, a_response_to_head_keeps_its_length) {
    scripted_endpoint endpoint{[](const std::string& request, std::size_t) {
        const std::string whole = full_response_to(request, 200, std::string(4711, 'b'));
        return scripted_response{whole.substr(0, whole.find("\r\n\r\n") + 4)};
    }};
    direct_entry entry{{endpoint.address()}};
    const std::string response =
        exchange_raw(entry.address,
                     "HEAD /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Pomelohoist-Attempt-Id: a-1\r\n"
                     "Connection: close\r\n\r\n");
    EXPECT_TRUE(has_line(response, "Content-Length: 4711")) << response;
    EXPECT_TRUE(response.ends_with("\r\n\r\n")) << response;
}

} // namespace
} // namespace pomelohoist
