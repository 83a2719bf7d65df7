#include "entry_fixture.h"

#include <Poco/Net/StreamSocket.h>

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
    const std::string many = this->send_raw(begin + fields + "\r\n", true);
    EXPECT_NE(many.find("header_too_large"), std::string::npos) << many;
    // The HTTP library itself refuses a request with more header fields than the library's own limit.
    const std::string too_many = this->send_raw(begin + fields + fields + "\r\n", true);
    EXPECT_TRUE(too_many.starts_with("HTTP/1.1 400")) << too_many;
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

} // namespace
} // namespace pomelohoist
