#include "direct_fixture.h"

#include <gmock/gmock.h>

#include <atomic>
#include <thread>

/// Tests of forwarding over real connections, with endpoints whose responses are truncated, late, duplicate or wrong.
namespace pomelohoist {
namespace {

using test_support::field_of;
using test_support::full_response_to;
using test_support::http_response;
using test_support::scripted_endpoint;
using test_support::scripted_response;
using testing::HasSubstr;
using testing::Not;

scripted_response good(const std::string& request, std::size_t /*number*/) {
    return {full_response_to(request, 200, "body")};
}

std::string stream_head(const std::string& request) {
    return "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
           "\r\nX-Pomelohoist-Response-Stamp: signed\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& data) {
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

// Guards against forwarding the caller's key, a workspace named by the caller, or hop-by-hop fields to an endpoint.
TEST(forwarding_test, forwards_only_permitted_fields) {
    scripted_endpoint endpoint{good};
    direct_entry entry{{endpoint.address()}};
    const http_response response = entry.call("POST", "/unsafe/x?y=1", "payload",
                                              {{"X-Pomelohoist-Tenant", "forged"},
                                               {"X-Secret", "1"},
                                               {"Connection", "close, X-Secret"},
                                               {"X-Pomelohoist-Expect-Instance", "i-9"},
                                               {"X-Kept", "2"}});
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "body");
    ASSERT_EQ(endpoint.requests().size(), 1U);
    const std::string request = endpoint.requests().front();
    EXPECT_THAT(request, HasSubstr("POST /unsafe/x?y=1 HTTP/1.1"));
    EXPECT_THAT(request, HasSubstr("\r\n\r\npayload"));
    EXPECT_EQ(field_of(request, "X-Pomelohoist-Tenant"), "w");
    EXPECT_EQ(field_of(request, "X-Pomelohoist-Expect-Instance"), "i-0");
    EXPECT_EQ(field_of(request, "X-Pomelohoist-Request-Priority"), "1");
    EXPECT_EQ(field_of(request, "X-Kept"), "2");
    EXPECT_EQ(field_of(request, "X-Secret"), "");
    EXPECT_THAT(request, Not(HasSubstr("key-1")));
    EXPECT_LE(std::stoi(field_of(request, "X-Pomelohoist-Deadline-Ms")), 1500);
}

// Guards against forwarding requests with an unknown key or route.
TEST(forwarding_test, refuses_unknown_keys_and_routes) {
    scripted_endpoint endpoint{good};
    direct_entry entry{{endpoint.address()}};
    EXPECT_EQ(entry.call("GET", "/safe/x", "", {{"X-Api-Key", "other"}}).status, 401);
    EXPECT_EQ(entry.call("GET", "/none/x").status, 404);
    EXPECT_TRUE(endpoint.requests().empty());
}

// Guards against forwarding a truncated response as complete, and against a failed safe request that is not retried
// at another endpoint.
TEST(forwarding_test, a_truncated_response_is_not_forwarded) {
    const auto truncated = [](const std::string& request, std::size_t) {
        const std::string full_text = full_response_to(request, 200, "body");
        return scripted_response{full_text.substr(0, full_text.size() - 2), {}, true};
    };
    scripted_endpoint bad{truncated};
    scripted_endpoint sound{good};
    direct_entry entry{{bad.address(), sound.address()}};
    for (int i = 0; i < 6; ++i) {
        const http_response safe = entry.call("GET", "/safe/x");
        EXPECT_EQ(safe.status, 200);
        EXPECT_EQ(safe.body, "body");
    }
    EXPECT_FALSE(bad.requests().empty());
    direct_entry alone{{bad.address()}};
    EXPECT_EQ(alone.call("POST", "/unsafe/x", "p").status, 502);
}

// Guards against sending a non-idempotent request to a second endpoint, and against reporting it as not run after it
// may have run.
TEST(forwarding_test, an_unsafe_request_is_sent_once) {
    scripted_endpoint resets{[](const std::string&, std::size_t) { return scripted_response{"", {}, false, true}; }};
    scripted_endpoint also_resets{[](const std::string&, std::size_t) {
        return scripted_response{"", {}, false, true};
    }};
    direct_entry entry{{resets.address(), also_resets.address()}};
    EXPECT_EQ(entry.call("POST", "/unsafe/x", "p").status, 502);
    EXPECT_EQ(resets.requests().size() + also_resets.requests().size(), 1U);
}

// Guards against reporting a request as not run although the endpoint did not state it, and against dropping the
// endpoint's statement.
TEST(forwarding_test, only_an_endpoint_states_that_a_request_was_not_run) {
    scripted_endpoint full{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 503, "", "X-Pomelohoist-Not-Executed: 1\r\n")};
    }};
    direct_entry entry{{full.address()}};
    const http_response response = entry.call("POST", "/unsafe/x", "p");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.headers.count("Retry-After"), 1U);
    EXPECT_EQ(response.headers.count("X-Pomelohoist-Response-Stamp"), 0U);
    scripted_endpoint failing{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 500, "why")};
    }};
    direct_entry second_entry{{failing.address()}};
    const http_response failed = second_entry.call("POST", "/unsafe/x", "p");
    EXPECT_EQ(failed.status, 500);
    EXPECT_EQ(failed.body, "why");
}

// Guards against forwarding the response to an earlier request, or bytes after a response, to the next caller.
TEST(forwarding_test, stray_responses_are_not_forwarded) {
    scripted_endpoint late{[](const std::string& request, std::size_t) {
        std::string stray = "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: other\r\n"
                            "X-Pomelohoist-Response-Stamp: signed\r\nContent-Length: 5\r\n\r\nwrong";
        return scripted_response{stray + full_response_to(request, 200, "right")};
    }};
    direct_entry entry{{late.address()}};
    EXPECT_EQ(entry.call("GET", "/safe/x").body, "right");
    scripted_endpoint extra{[](const std::string& request, std::size_t number) {
        const std::string body = "body" + std::to_string(number);
        return scripted_response{full_response_to(request, 200, body) + full_response_to(request, 200, "extra")};
    }};
    direct_entry second_entry{{extra.address()}};
    EXPECT_EQ(second_entry.call("GET", "/safe/x").body, "body0");
    EXPECT_EQ(second_entry.call("GET", "/safe/x").body, "body1");
    EXPECT_EQ(extra.connections(), 2U);
}

// Guards against forwarding a success that the endpoint did not sign, or whose body has a content encoding.
TEST(forwarding_test, unsigned_and_encoded_successes_are_rejected) {
    scripted_endpoint unsigned_response{[](const std::string&, std::size_t) {
        return scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    }};
    EXPECT_EQ(direct_entry({unsigned_response.address()}).call("POST", "/unsafe/x", "p").status, 502);
    scripted_endpoint encoded{[](const std::string& request, std::size_t) {
        return scripted_response{full_response_to(request, 200, "zz", "Content-Encoding: gzip\r\n")};
    }};
    EXPECT_EQ(direct_entry({encoded.address()}).call("POST", "/unsafe/x", "p").status, 502);
    scripted_endpoint garbage{[](const std::string&, std::size_t) { return scripted_response{"no answer\r\n\r\n"}; }};
    EXPECT_EQ(direct_entry({garbage.address()}).call("POST", "/unsafe/x", "p").status, 502);
}

// Guards against treating a response without a length as complete after a connection reset.
TEST(forwarding_test, an_unframed_response_is_complete_only_after_an_orderly_close) {
    const auto unframed = [](const std::string& request) {
        return "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
               "\r\nX-Pomelohoist-Response-Stamp: signed\r\n\r\nwhole";
    };
    scripted_endpoint closes{[&unframed](const std::string& request, std::size_t) {
        return scripted_response{unframed(request), {}, true};
    }};
    const http_response closed_response = direct_entry({closes.address()}).call("POST", "/unsafe/x", "p");
    EXPECT_EQ(closed_response.status, 200);
    EXPECT_EQ(closed_response.body, "whole");
    scripted_endpoint resets{[&unframed](const std::string& request, std::size_t) {
        return scripted_response{unframed(request), {}, false, true};
    }};
    EXPECT_EQ(direct_entry({resets.address()}).call("POST", "/unsafe/x", "p").status, 502);
}

// Guards against events that are lost, duplicated or truncated when a stream is resumed at another endpoint.
TEST(forwarding_test, an_interrupted_stream_is_resumed_at_another_endpoint) {
    const auto breaks_or_resumes = [](const std::string& request, std::size_t) {
        const std::string after = field_of(request, "Last-Event-Id");
        if (after.empty()) {
            return scripted_response{stream_head(request) + chunk(event(1) + event(2) + "id: 3\nda"), {}, true};
        }
        std::string rest;
        for (int id = std::stoi(after) + 1; id <= 4; ++id) {
            rest += chunk(event(id));
        }
        return scripted_response{stream_head(request) + rest + "0\r\n\r\n"};
    };
    scripted_endpoint first{breaks_or_resumes};
    scripted_endpoint second{breaks_or_resumes};
    direct_entry entry{{first.address(), second.address()}};
    const http_response response = entry.call("POST", "/stream/x", "p");
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, event(1) + event(2) + event(3) + event(4));
    ASSERT_EQ(first.requests().size() + second.requests().size(), 2U);
}

// Guards against an interrupted stream that looks complete to the caller.
TEST(forwarding_test, a_stream_that_cannot_be_resumed_ends_incomplete) {
    scripted_endpoint breaks{[](const std::string& request, std::size_t) {
        return scripted_response{stream_head(request) + chunk(event(1)), {}, true};
    }};
    direct_entry entry{{breaks.address()}};
    const http_response response = entry.call("POST", "/stream/x", "p");
    EXPECT_EQ(response.body, event(1));
    EXPECT_FALSE(response.complete);
}

// Guards against a stream without a length or chunks that looks complete although it ends within an event.
TEST(forwarding_test, an_unframed_stream_that_ends_within_an_event_is_incomplete) {
    const auto unframed = [](const std::string& request, const std::string& last) {
        return "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
               "\r\nX-Pomelohoist-Response-Stamp: signed\r\n\r\n" + event(1) + last;
    };
    for (const bool is_whole : {true, false}) {
        const std::string last = is_whole ? event(2) : "id: 2\nda";
        scripted_endpoint endpoint{[&](const std::string& request, std::size_t) {
            return scripted_response{unframed(request, last), {}, true};
        }};
        direct_entry entry{{endpoint.address()}};
        const http_response response = entry.call("POST", "/stream/x", "p");
        EXPECT_EQ(response.body, is_whole ? event(1) + event(2) : event(1));
        EXPECT_EQ(response.complete, is_whole);
    }
}

// Guards against a response without a length that looks complete because its endpoint's process has ended: its kernel
// closes the connection in the same way as a process at the end of a response.
TEST(forwarding_test, an_unframed_response_of_an_endpoint_that_has_ended_is_incomplete) {
    const auto unframed = [](const std::string& request, const std::string& body) {
        scripted_response response{
            "HTTP/1.1 200 OK\r\nX-Pomelohoist-Attempt-Id: " + field_of(request, "X-Pomelohoist-Attempt-Id") +
            "\r\nX-Pomelohoist-Response-Stamp: signed\r\n\r\n" + body};
        response.crashes_after_close = true;
        return response;
    };
    const std::string first_events = event(1) + event(2) + event(3) + event(4) + event(5);
    const auto stream = [&](const std::string& request, std::size_t) {
        return field_of(request, "Last-Event-Id").empty()
                   ? unframed(request, first_events)
                   : scripted_response{stream_head(request) + chunk(event(6)) + "0\r\n\r\n"};
    };
    scripted_endpoint first{stream};
    scripted_endpoint second{stream};
    direct_entry entry{{first.address(), second.address()}};
    const http_response whole = entry.call("POST", "/stream/x", "p");
    EXPECT_TRUE(whole.complete);
    EXPECT_EQ(whole.body, first_events + event(6));

    scripted_endpoint alone{stream};
    direct_entry lone_entry{{alone.address()}};
    const http_response interrupted = lone_entry.call("POST", "/stream/x", "p");
    EXPECT_FALSE(interrupted.complete);
    EXPECT_EQ(interrupted.body, first_events);

    scripted_endpoint ends{[&](const std::string& request, std::size_t) { return unframed(request, "half"); }};
    direct_entry other_entry{{ends.address()}};
    EXPECT_EQ(other_entry.call("POST", "/unsafe/x", "p").status, 502);
}

// Guards against a stream that is resumed at an endpoint that refuses to go on, and ends as complete after the events
// of the first endpoint.
TEST(forwarding_test, a_resumed_stream_with_an_error_response_is_incomplete) {
    for (const int status : {200, 204, 404, 500}) {
        const auto serve = [status](const std::string& request, std::size_t) {
            if (field_of(request, "Last-Event-Id").empty()) {
                return scripted_response{stream_head(request) + chunk(event(1)), {}, true};
            }
            return scripted_response{full_response_to(request, status, status == 204 ? "" : "none")};
        };
        scripted_endpoint first{serve};
        scripted_endpoint second{serve};
        direct_entry entry{{first.address(), second.address()}};
        const http_response response = entry.call("POST", "/stream/x", "p");
        EXPECT_EQ(response.body, event(1)) << status;
        EXPECT_FALSE(response.complete) << status;
    }
}

// Guards against an endpoint that continues to work for a disconnected caller.
TEST(forwarding_test, a_disconnect_of_the_caller_ends_the_work) {
    scripted_endpoint hangs{[](const std::string& request, std::size_t) {
        return scripted_response{stream_head(request) + chunk(event(1)), {}, false, false, true};
    }};
    direct_entry entry{{hangs.address()}};
    entry.call("POST", "/stream/x", "p", {}, [](const std::string&) { return false; });
    for (int i = 0; i < 50 && !hangs.saw_caller_disconnect(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    EXPECT_TRUE(hangs.saw_caller_disconnect());
}

// Guards against a request that waits beyond its deadline.
TEST(forwarding_test, an_unresponsive_endpoint_is_abandoned_at_the_deadline) {
    scripted_endpoint unresponsive{[](const std::string&, std::size_t) {
        return scripted_response{"", {}, false, false, true};
    }};
    direct_entry entry{{unresponsive.address()}};
    const auto begin = std::chrono::steady_clock::now();
    const http_response response = entry.call("POST", "/unsafe/x", "p", {{"X-Pomelohoist-Deadline-Ms", "300"}});
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    EXPECT_EQ(response.status, 504);
    EXPECT_LT(elapsed, std::chrono::milliseconds{800});
}

// Guards against a stopping entry that accepts a request on a kept connection and is killed before its response.
TEST(forwarding_test, a_stopping_entry_refuses_late_requests) {
    scripted_endpoint endpoint{good};
    direct_entry entry{{endpoint.address()}};
    entry.server.begin_closing();
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 200);
    entry.service.refuse_all();
    const http_response late = entry.call("POST", "/unsafe/x", "p");
    EXPECT_EQ(late.status, 503);
    EXPECT_EQ(late.headers.count("Retry-After"), 1U);
    EXPECT_EQ(endpoint.requests().size(), 1U);
}

// Guards against forwarding to an endpoint that is shutting down.
TEST(forwarding_test, nothing_is_sent_to_a_leaving_endpoint) {
    scripted_endpoint endpoint{good};
    direct_entry entry{{endpoint.address()}};
    entry.state.apply_endpoints({2, {{"i-0", "s", endpoint.address(), "dc", 4, true, 0}}});
    EXPECT_EQ(entry.call("GET", "/safe/x").status, 503);
    EXPECT_TRUE(endpoint.requests().empty());
}

} // namespace
} // namespace pomelohoist
