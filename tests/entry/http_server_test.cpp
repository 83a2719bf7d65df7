#include "entry_fixture.h"
#include "platform/base64.h"
#include "support/raw_exchange.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>

namespace pomelohoist {
namespace {

class http_server_test : public entry_fixture {
  protected:
    std::string send_raw(const std::string& text, bool shut_down) {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{this->http.ip, this->http.port}};
        socket.setReceiveTimeout(Poco::Timespan{20, 0});
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        if (shut_down) {
            socket.shutdownSend();
        }
        std::string response;
        std::array<char, 4096> buffer{};
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            response.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        }
        return response;
    }
};

// Guards against errors with the wrong status or kind, and against errors without `not_run`.
TEST_F(http_server_test, refuses_with_the_cause) {
    EXPECT_EQ(this->call(model(false)).kind(), "not_ready");
    EXPECT_EQ(this->call({"GET", "/readyz", "", {}}).status, 503);
    this->start_agents(1);
    EXPECT_EQ(this->call({"GET", "/readyz", "", {}}).status, 200);
    EXPECT_EQ(this->call({"GET", "/healthz", "", {}}).status, 200);
    struct expectation {
        http_call call;
        int status;
        std::string kind;
    };
    const std::string path = "/v1/chat/completions";
    const std::vector<expectation> cases{
        {{"POST", path, "{", {}}, 400, "bad_request"},
        {{"POST", path, "[]", {}}, 400, "bad_request"},
        {{"POST", path, R"({"model":1})", {}}, 400, "bad_request"},
        {{"POST", path, R"({"model":"m","resume_from":3})", {}}, 400, "bad_request"},
        {{"POST", path, std::string(100000, '['), {}}, 400, "bad_request"},
        {{"POST", path, R"({"model":"none"})", {}}, 404, "unknown_model"},
        {{"GET", path, "", {}}, 405, "method_not_allowed"},
        {{"GET", "/elsewhere", "", {}}, 404, "not_found"},
        {{"GET", "/services/none/x", "", {}}, 404, "not_found"},
        {model(false, {{"Authorization", "Bearer wrong"}}), 401, "unauthorized"},
        {model(false, {{"Authorization", "Basic abc"}}), 401, "unauthorized"},
        {model(false, {{"X-Pomelohoist-Application", "none"}}), 400, "bad_request"},
        {model(false, {{"X-Request-Deadline-Ms", "-1"}}), 400, "bad_request"},
        {model(false, {{"Idempotency-Key", std::string(300, 'k')}}), 400, "bad_request"},
    };
    for (const expectation& expected : cases) {
        const call_result response = this->call(expected.call);
        EXPECT_EQ(response.status, expected.status) << expected.call.path << " " << response.body;
        EXPECT_EQ(response.kind(), expected.kind);
        EXPECT_TRUE(response.not_run());
        EXPECT_FALSE(response.request_id.empty());
    }
    EXPECT_EQ(this->total_runs(), 0);
    EXPECT_NE(this->call({"GET", "/metrics", "", {}}).body.find("entry_requests_total"), std::string::npos);
}

// Guards against unbounded request bodies and header fields.
TEST_F(http_server_test, limits_header_and_body) {
    this->start_agents(1);
    const std::string begin = "POST /services/desk/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\n";
    const std::string large = this->send_raw(begin + "Content-Length: 99999999\r\n\r\n", false);
    EXPECT_NE(large.find("payload_too_large"), std::string::npos) << large;
    std::string fields;
    for (int i = 0; i < 80; ++i) {
        fields += "X-Field-" + std::to_string(i) + ": v\r\n";
    }
    for (const std::string& too_many : {fields, fields + fields}) {
        const std::string response = this->send_raw(begin + too_many + "\r\n", true);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 431")) << response;
        EXPECT_NE(response.find("header_too_large"), std::string::npos) << response;
    }
    const std::string too_long = this->send_raw(begin + "X-Long: " + std::string(200000, 'v') + "\r\n\r\n", false);
    EXPECT_NE(too_long.find("header_too_large"), std::string::npos) << too_long;
    EXPECT_EQ(this->total_runs(), 0);
}

// Guards against running a request whose body was truncated.
TEST_F(http_server_test, does_not_run_truncated_requests) {
    this->start_agents(1);
    const std::string begin = "POST /services/desk/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\n";
    this->send_raw(begin + "Content-Length: 100\r\n\r\nhalf of it", true);
    const std::string chunked = this->send_raw(begin + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true);
    EXPECT_NE(chunked.find("bad_request"), std::string::npos) << chunked;
    EXPECT_EQ(this->total_runs(), 0);
}

// Guards against a caller that holds a thread by never completing the body.
TEST_F(http_server_test, times_out_slow_request_bodies) {
    this->start_agents(1);
    const std::string response =
        this->send_raw("POST /services/desk/book HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf", false);
    EXPECT_NE(response.find("request_timeout"), std::string::npos) << response;
    EXPECT_EQ(this->total_runs(), 0);
}

// Guards against the bearer key reaching an endpoint, and against service calls that lose
// their method, path or query.
TEST_F(http_server_test, forwards_service_calls_without_the_bearer_key) {
    this->start_agents(1);
    EXPECT_EQ(this->call({"PUT", "/services/desk/a/b?c=d", "x", {{"X-Extra", "1"}}}).status, 200);
    const inner::run_request run = this->agents[0]->last_run();
    EXPECT_EQ(run.method, "PUT");
    EXPECT_EQ(run.path, "/a/b?c=d");
    EXPECT_FALSE(run.reservation.idempotent);
    bool has_extra = false;
    for (const inner::header_field& field : run.headers) {
        EXPECT_NE(field.name, "Authorization");
        has_extra = has_extra || field.name == "X-Extra";
    }
    EXPECT_TRUE(has_extra);
    EXPECT_EQ(this->call({"GET", "/services/desk", "", {}}).status, 200);
    EXPECT_TRUE(this->agents[0]->last_run().reservation.idempotent);
    EXPECT_EQ(this->agents[0]->last_run().path, "/");
}

/// @returns values of one field each, which an HTTP library may decode, cut or split
std::vector<std::string> awkward_values() {
    return {"=?UTF-8?B?" + encode_base64("a\r\n\r\nPOST /services/desk/forged HTTP/1.1\r\n\r\n") + "?=",
            "=?UTF-8?Q?caf=C3=A9?=",
            "=?UTF-8?Q?a=0D=0AX-Forged:_1?=",
            "caf\xc3\xa9 and caf\xe9",
            "",
            std::string(9000, 'v'),
            "first",
            "first"};
}

// Guards against fields that are decoded, merged or dropped on their way through agents, in both directions.
TEST_F(http_server_test, fields_pass_byte_for_byte) {
    this->start_agents(1);
    std::string lines;
    std::vector<inner::header_field> fields;
    for (const std::string& value : awkward_values()) {
        lines += "X-Note: " + value + "\r\n";
        fields.push_back({"X-Note", value});
    }
    this->agents[0]->more_headers = fields;
    const std::string model_body = model(true).body;
    for (const auto& [target, body] : std::vector<std::pair<std::string, std::string>>{
             {"/services/desk/book", "order"}, {"/v1/chat/completions", model_body}}) {
        std::string request = "POST " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\n";
        request += lines;
        request += "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        request += body;
        const std::string response = test_support::exchange_raw(this->http, request);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
        std::vector<inner::header_field> seen = this->agents[0]->last_run().headers;
        std::erase_if(seen, [](const inner::header_field& field) { return field.name != "X-Note"; });
        EXPECT_EQ(seen, fields) << target;
        EXPECT_EQ(this->agents[0]->last_run().body, body);
        std::vector<std::string> returned = test_support::head_lines(response);
        std::erase_if(returned, [](const std::string& line) { return !line.starts_with("X-Note: "); });
        EXPECT_EQ(returned.size(), fields.size()) << response;
        for (std::size_t i = 0; i < std::min(returned.size(), fields.size()); ++i) {
            EXPECT_EQ(returned[i], "X-Note: " + fields[i].value);
        }
    }
}

// Guards against a body in an unknown coding whose bytes are taken for the next request.
TEST_F(http_server_test, a_body_in_an_unknown_coding_is_no_request) {
    this->start_agents(1);
    const std::string smuggled = "POST /services/desk/forged HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                 "secret-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    for (const std::string coding : {"gzip", "gzip, chunked", "identity", "xchunked"}) {
        std::string request = "POST /services/desk/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\n";
        request += "Transfer-Encoding: " + coding + "\r\n\r\n";
        request += smuggled;
        const std::string response = test_support::exchange_raw(this->http, request);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << coding << "\n" << response;
        EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << coding << "\n" << response;
    }
    EXPECT_EQ(this->total_runs(), 0);
}

// Guards against a chunked body that is refused or changed.
TEST_F(http_server_test, chunked_bodies_are_forwarded) {
    this->start_agents(1);
    const std::string response = test_support::exchange_raw(
        this->http, "POST /services/desk/book HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret-key\r\n"
                    "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nord\r\n2\r\ner\r\n0\r\n\r\n");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
    EXPECT_EQ(this->agents[0]->last_run().body, "order");
}

} // namespace
} // namespace pomelohoist
