#include "agent/endpoint_driver.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <mutex>
#include <thread>

namespace pomelohoist {
namespace {

/// Sends fixed bytes on one connection, then closes it or keeps it open until the client closes it.
class raw_server {
  public:
    raw_server(std::string response_bytes, bool keep_open) : response(std::move(response_bytes)) {
        std::signal(SIGPIPE, SIG_IGN);
        this->thread = std::thread{[this, keep_open] { this->serve(keep_open); }};
    }
    ~raw_server() { this->thread.join(); }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] net_address address() const { return {"127.0.0.1", this->socket.address().port()}; }
    /// @returns the request, once the response has been received
    [[nodiscard]] std::string request() const {
        const std::lock_guard lock{this->mutex};
        return this->received;
    }

  private:
    void serve(bool keep_open) {
        Poco::Net::StreamSocket accepted = this->socket.acceptConnection();
        accepted.setReceiveTimeout(Poco::Timespan{5, 0});
        std::array<char, 4096> buffer{};
        const int count = accepted.receiveBytes(buffer.data(), buffer.size());
        {
            const std::lock_guard lock{this->mutex};
            this->received.assign(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        }
        accepted.sendBytes(this->response.data(), static_cast<int>(this->response.size()));
        try {
            if (keep_open) {
                accepted.receiveBytes(buffer.data(), buffer.size());
            }
        } catch (const Poco::Exception&) {
            return; // the client has reset the connection
        }
    }

    std::string response;
    mutable std::mutex mutex;
    std::string received;
    Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    std::thread thread;
};

class collecting_sink : public endpoint_sink {
  public:
    void on_send() override { this->sent = true; }
    bool on_head(std::uint16_t http_status, const std::vector<inner::header_field>& fields) override {
        this->status = http_status;
        this->headers = fields;
        ++this->heads;
        return true;
    }
    bool on_data(std::string_view data) override {
        this->body += data;
        return true;
    }

    bool sent{false};
    int heads{0};
    std::uint16_t status{0};
    std::vector<inner::header_field> headers;
    std::string body;
};

run_outcome run_against(const std::string& response, bool keep_open, collecting_sink& sink) {
    const raw_server server{response, keep_open};
    abort_signal signal;
    return make_model_driver(server.address())->run({"GET", "/x", {}, ""}, sink, signal).outcome;
}

const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

// Guards against truncated responses that look complete: POCO ends a body in the same way after a lost connection and
// after the last chunk.
TEST(http_call_test, truncated_bodies_are_broken) {
    collecting_sink sink;
    EXPECT_EQ(run_against(chunked + "\r\n3\r\nabc\r\n", false, sink), run_outcome::broken);
    EXPECT_EQ(sink.body, "abc");
    EXPECT_EQ(run_against(chunked + "\r\n5\r\nab", false, sink), run_outcome::broken);
    EXPECT_EQ(run_against("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false, sink), run_outcome::broken);
    EXPECT_EQ(run_against("HTTP/1.1 200 OK\r\n\r\nabc", false, sink), run_outcome::broken);
    EXPECT_EQ(run_against("", false, sink), run_outcome::broken);
}

// Guards against an event stream without its end mark that is accepted as complete.
TEST(http_call_test, event_stream_needs_its_end_mark) {
    const std::string head = chunked + "Content-Type: text/event-stream\r\n\r\n";
    collecting_sink sink;
    EXPECT_EQ(run_against(head + "9\r\ndata: 1\n\n\r\n0\r\n\r\n", true, sink), run_outcome::broken);
    EXPECT_EQ(run_against(head + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true, sink), run_outcome::completed);
    EXPECT_EQ(run_against(head + "8\r\ndata: [D\r\n7\r\nONE]\n\n\n\r\n0\r\n\r\n", true, sink), run_outcome::completed);
}

// Guards against bytes that are no response but are forwarded as one, and against a second head that is taken for the
// response.
TEST(http_call_test, statuses_outside_of_http_are_broken) {
    for (const std::string status :
         {"000", "099", "101", "600", "999", "2000", "65736", "+200", "-200", "20x", "20", "+20", ""}) {
        for (const std::string rest : {"Content-Length: 3\r\n\r\nabc", "\r\nabc", "\r\n",
                                       "\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}) {
            std::string bytes = "HTTP/1.1 " + status;
            bytes += " Odd\r\n";
            bytes += rest;
            collecting_sink sink;
            EXPECT_EQ(run_against(bytes, false, sink), run_outcome::broken) << status << " " << rest;
            EXPECT_TRUE(sink.sent);
            EXPECT_EQ(sink.status, 0) << status << " " << rest;
            EXPECT_EQ(sink.heads, 0) << status << " " << rest;
            EXPECT_EQ(sink.body, "") << status << " " << rest;
        }
    }
}

// Guards against an interim response that is forwarded as the final one.
TEST(http_call_test, interim_responses_are_skipped) {
    for (const std::string interim : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        collecting_sink sink;
        EXPECT_EQ(
            run_against("HTTP/1.1 " + interim + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true, sink),
            run_outcome::completed)
            << interim;
        EXPECT_EQ(sink.status, 200) << interim;
        EXPECT_EQ(sink.heads, 1) << interim;
        EXPECT_EQ(sink.body, "abc") << interim;
    }
}

// Guards against full responses that are classified as broken.
TEST(http_call_test, full_bodies_are_completed) {
    collecting_sink sink;
    EXPECT_EQ(run_against(chunked + "\r\n3\r\nabc\r\n0\r\n\r\n", true, sink), run_outcome::completed);
    EXPECT_EQ(run_against("HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\ndef", false, sink), run_outcome::completed);
    EXPECT_EQ(sink.body, "abcdef");
    EXPECT_EQ(sink.status, 500);
    EXPECT_EQ(run_against("HTTP/1.1 204 No Content\r\n\r\n", true, sink), run_outcome::completed);
}

const std::vector<inner::header_field> awkward_fields{{"X-Note", "=?UTF-8?Q?a=0D=0AX-Forged:_1?="},
                                                      {"X-Note", "first"},
                                                      {"X-Note", "first"},
                                                      {"X-Name", "caf\xc3\xa9"},
                                                      {"X-Empty", ""}};

// Guards against fields that are decoded, merged or dropped between the agent and its endpoint.
TEST(http_call_test, fields_pass_byte_for_byte) {
    std::string lines;
    for (const inner::header_field& field : awkward_fields) {
        lines += field.name + ": " + field.value + "\r\n";
    }
    const raw_server server{"HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 0\r\n\r\n", true};
    collecting_sink sink;
    abort_signal signal;
    EXPECT_EQ(make_service_driver(server.address())->run({"POST", "/x", awkward_fields, "ok"}, sink, signal).outcome,
              run_outcome::completed);
    EXPECT_EQ(sink.headers, awkward_fields);
    EXPECT_NE(server.request().find(lines), std::string::npos) << server.request();
    EXPECT_TRUE(server.request().ends_with("\r\n\r\nok")) << server.request();
}

// Guards against text of a message between processes that becomes a line of the endpoint's request.
TEST(http_call_test, fields_that_would_be_two_lines_are_not_sent) {
    const Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    for (const endpoint_request& request :
         std::vector<endpoint_request>{{"GET", "/x", {{"X-Note", "a\r\nX-Forged: 1"}}, ""},
                                       {"GET", "/x", {{"X-Note", "a\nb"}}, ""},
                                       {"GET", "/x", {{"X-A: 1\r\nX-B", "b"}}, ""},
                                       {"GET", "/x HTTP/1.1\r\nX-B: 1\r\n", {}, ""},
                                       {"GET /y", "/x", {}, ""}}) {
        collecting_sink sink;
        abort_signal signal;
        EXPECT_EQ(make_service_driver({"127.0.0.1", listener.address().port()})->run(request, sink, signal).outcome,
                  run_outcome::refused);
        EXPECT_FALSE(sink.sent);
    }
}

// Guards against lines that a library leaves out, or takes for fields, in a response.
TEST(http_call_test, malformed_heads_are_broken) {
    for (const std::string line : {"no field", "X-Note : a", ": a", " folded", "X-Note: a\nX-Forged: 1",
                                   "X-Note: a\rX-Forged: 1", "X-Note: \x1b", "HTTP/1.1 200 OK"}) {
        collecting_sink sink;
        EXPECT_EQ(run_against("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc", true, sink),
                  run_outcome::broken)
            << line;
        EXPECT_EQ(sink.heads, 0) << line;
    }
}

// Guards against a request that was never sent but is reported as possibly run.
TEST(http_call_test, closed_port_is_refused) {
    net_address closed;
    {
        const Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
        closed = {"127.0.0.1", socket.address().port()};
    }
    collecting_sink sink;
    abort_signal signal;
    EXPECT_EQ(make_service_driver(closed)->run({"GET", "/", {}, ""}, sink, signal).outcome, run_outcome::refused);
    EXPECT_FALSE(sink.sent);
    EXPECT_FALSE(make_service_driver(closed)->check_health());
}

} // namespace
} // namespace pomelohoist
