#include "../../standins/engine/token_rule.h"
#include "agent/agent_daemon.h"
#include "agent_fakes.h"
#include "support/http_client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

namespace pomelohoist {
namespace {

using nlohmann::json;

/// The process of a stand-in, terminated by the destructor.
class standin_process {
  public:
    standin_process(const std::string& name, const std::vector<std::string>& arguments)
        : process(Poco::Process::launch(std::string{POMELOHOIST_BIN_DIR} + "/" + name, arguments, nullptr, &this->pipe,
                                        nullptr)) {
        Poco::PipeInputStream output{this->pipe};
        std::string line;
        std::getline(output, line);
        const auto parsed = net_address::parse(line.substr(line.find('=') + 1));
        EXPECT_TRUE(parsed) << line;
        this->served = parsed.value_or(net_address{});
    }
    ~standin_process() {
        if (Poco::Process::isRunning(this->process)) {
            Poco::Process::requestTermination(this->process.id());
        }
        this->process.wait();
    }
    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;

    [[nodiscard]] const net_address& address() const { return this->served; }

    [[nodiscard]] json counts() const {
        Poco::Net::HTTPClientSession session{this->served.ip, this->served.port};
        Poco::Net::HTTPRequest request{"GET", "/standin/counts", "HTTP/1.1"};
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return json::parse(body);
    }

  private:
    Poco::Pipe pipe;
    Poco::ProcessHandle process;
    net_address served;
};

/// A configuration source that starts with version 5, in which the agent has the listener's address.
std::unique_ptr<configuration_source> make_fake_source(const source_setup& setup) {
    auto source = std::make_unique<fake_source>();
    source->set(make_test_configuration(5, setup.listener.local_address(), {"127.0.0.1", 9}));
    return source;
}

/// The response of one run.
struct run_response {
    std::uint16_t status{0};
    std::string body;
    std::optional<error_kind> failed;
    std::optional<error_kind> refused;
};

class standin_test : public testing::Test {
  protected:
    standin_test() { this->client.start(nullptr); }

    void start_agent(const std::string& kind, const net_address& endpoint_address) {
        const std::string file =
            (std::filesystem::path{testing::TempDir()} / ("agent-" + this->random.next_hex(8) + ".ini")).string();
        std::ofstream{file} << "[process]\nname = agent-1\nhost = h-e1\n[inner]\naddress = 127.0.0.1:0\n[endpoint]\n"
                            << "name = e1\nkind = " << kind << "\naddress = " << endpoint_address.to_string()
                            << "\nslots = 4\n[platform]\naddress = 127.0.0.1:9\n[http]\naddress = 127.0.0.1:0\n";
        agent_daemon_factory factory{[](const source_setup& setup) -> result<std::unique_ptr<configuration_source>> {
            return make_fake_source(setup);
        }};
        settings_schema schema = common_schema();
        const settings_schema agent_schema = factory.schema();
        schema.insert(schema.end(), agent_schema.begin(), agent_schema.end());
        const result<settings> checked = settings::load(file, schema);
        std::filesystem::remove(file);
        ASSERT_TRUE(checked) << checked.last_error().reason;
        this->agent = factory.create(*checked, this->context);
        const result<std::string> ready = this->agent->start();
        ASSERT_TRUE(ready) << ready.last_error().reason;
        const std::size_t between = ready->find(' ');
        this->address = *net_address::parse(ready->substr(ready->find('=') + 1, between - ready->find('=') - 1));
        this->http = *net_address::parse(ready->substr(ready->rfind('=') + 1));
    }

    test_support::http_response get(const std::string& path) const {
        test_support::http_request request;
        request.path = path;
        return test_support::send_http(this->http, request);
    }

    result<inner::reserve_response> reserve(const inner::reserve_request& request) {
        return inner::call_datagram<inner::reserve_response>(this->client, this->address, request,
                                                             std::chrono::milliseconds{3000});
    }

    /// Retries the reservation until the agent is ready, then sends the run.
    inner::frame_channel start_run(const std::string& id, const std::string& path, const std::string& body) {
        inner::run_request run;
        run.reservation.request_id = id;
        run.reservation.workspace = "w";
        run.reservation.application = "a";
        run.reservation.configuration_version = 5;
        run.reservation.digest = sha256_hex(body);
        run.method = "POST";
        run.path = path;
        run.headers = {{"Content-Type", "application/json"}, {"Idempotency-Key", id}};
        run.body = body;
        EXPECT_TRUE(eventually([&] {
            const auto response = this->reserve(run.reservation);
            run.granted = response && response->accepted ? response->accepted->granted : ticket{};
            return run.granted.is_valid();
        }));
        auto channel = inner::frame_channel::connect(this->address, "entry", std::chrono::milliseconds{3000});
        EXPECT_TRUE(channel && channel->send(run));
        return *channel;
    }

    static run_response read_response(inner::frame_channel& channel) {
        run_response response;
        std::uint64_t chunks = 0;
        while (true) {
            const result<inner::packet> received = channel.receive(std::chrono::milliseconds{10000});
            EXPECT_TRUE(received);
            if (!received) {
                return response;
            }
            if (received->type == inner::message_type::run_head) {
                response.status = inner::decode_body<inner::run_head>(*received)->http_status;
            } else if (received->type == inner::message_type::run_chunk) {
                const auto chunk = inner::decode_body<inner::run_chunk>(*received);
                EXPECT_EQ(chunk->number, chunks++);
                response.body += chunk->data;
            } else if (received->type == inner::message_type::run_end) {
                const auto end = inner::decode_body<inner::run_end>(*received);
                EXPECT_EQ(end->chunks, chunks);
                response.failed = end->failed;
                return response;
            } else {
                response.refused = inner::decode_body<inner::run_refused>(*received)->kind;
                return response;
            }
        }
    }

    system_clock time;
    seeded_random random{system_seed()};
    structured_log log{make_null_log()};
    null_span_exporter spans;
    metrics_registry metrics;
    daemon_context context{time, random, log, spans, metrics};
    inner::datagram_endpoint client{{"127.0.0.1", 0}, "entry", time};
    std::unique_ptr<daemon> agent;
    net_address address;
    net_address http;
};

// Guards against changed or truncated text of an engine, in full and in streamed responses.
TEST_F(standin_test, engine_responses_are_forwarded_unchanged) {
    const standin_process engine{"standin-engine", {}};
    this->start_agent("model", engine.address());
    auto full_run = this->start_run("r1", "/v1/completions", R"({"prompt":"hola","max_tokens":20})");
    const run_response full = read_response(full_run);
    EXPECT_EQ(json::parse(full.body).at("choices").at(0).at("text"), standin::response_text("hola", 0, 20));
    auto stream_run =
        this->start_run("r2", "/v1/completions", R"({"prompt":"hola","max_tokens":20,"stream":true,"resume_from":5})");
    const run_response streamed = read_response(stream_run);
    EXPECT_FALSE(streamed.failed);
    std::string text;
    std::istringstream lines{streamed.body};
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: {", 0) == 0) {
            text += json::parse(line.substr(6)).at("choices").at(0).at("text").get<std::string>();
        }
    }
    EXPECT_EQ(text, standin::response_text("hola", 5, 20));
    EXPECT_EQ(engine.counts().at("finished"), (json{{"r1", 1}, {"r2", 1}}));
    this->agent->stop();
}

// Guards against a response that looks complete after the engine crashed, and against reservations at a crashed engine.
TEST_F(standin_test, engine_crash_is_reported) {
    const standin_process engine{"standin-engine", {"--crash-marker", "BOOM", "--token-ms", "20"}};
    this->start_agent("model", engine.address());
    auto innocent = this->start_run("r1", "/v1/completions", R"({"prompt":"x","max_tokens":500,"stream":true})");
    ASSERT_TRUE(eventually([&] { return engine.counts().value("started", json::object()).contains("r1"); }));
    auto crashing = this->start_run("r2", "/v1/completions", R"({"prompt":"BOOM"})");
    EXPECT_EQ(read_response(crashing).failed, error_kind::endpoint_failed);
    EXPECT_EQ(read_response(innocent).failed, error_kind::endpoint_failed);
    inner::reserve_request next;
    next.workspace = "w";
    next.application = "a";
    next.configuration_version = 5;
    const auto response = this->reserve(next);
    ASSERT_TRUE(response && !response->accepted);
    EXPECT_EQ(response->refusal, error_kind::not_ready);
    this->agent->stop();
}

// Guards against a non-idempotent request that runs twice, and against a graceful stop that aborts it.
TEST_F(standin_test, service_runs_once_and_stop_waits) {
    const standin_process service{"standin-service", {"--delay-ms", "300"}};
    this->start_agent("service", service.address());
    auto channel = this->start_run("r1", "/visits?day=1", "body");
    ASSERT_TRUE(eventually([&] { return service.counts().contains("keys"); }));
    std::thread stopping{[this] { this->agent->stop(); }};
    const run_response response = read_response(channel);
    stopping.join();
    EXPECT_EQ(response.status, 200);
    EXPECT_FALSE(response.failed);
    EXPECT_EQ(json::parse(response.body),
              (json{{"method", "POST"}, {"path", "/visits?day=1"}, {"body_sha256", sha256_hex("body")}}));
    EXPECT_EQ(service.counts().at("keys"), (json{{"r1", 1}}));
    EXPECT_EQ(service.counts().at("finished"), (json{{"r1", 1}}));
}

// Guards against missing health and metrics paths, gauges that are not updated, and an agent that accepts requests over
// HTTP.
TEST_F(standin_test, health_and_metrics_reflect_the_agent) {
    const standin_process service{"standin-service", {"--delay-ms", "300"}};
    this->start_agent("service", service.address());
    EXPECT_EQ(this->get("/healthz").status, 200);
    EXPECT_TRUE(eventually([&] { return this->get("/readyz").status == 200; }));
    const std::string idle = this->get("/metrics").body;
    for (const std::string gauge : {"queue_length", "running_requests", "suspects", "draining"}) {
        EXPECT_NE(idle.find("pomelohoist_agent_" + gauge + " 0"), std::string::npos) << idle;
    }
    EXPECT_EQ(this->get("/v1/completions").status, 404);
    auto channel = this->start_run("r1", "/visits", "body");
    ASSERT_TRUE(eventually([&] { return service.counts().contains("keys"); }));
    EXPECT_NE(this->get("/metrics").body.find("pomelohoist_agent_running_requests 1"), std::string::npos);
    std::thread stopping{[this] { this->agent->stop(); }};
    EXPECT_TRUE(eventually(
        [&] { return this->get("/metrics").body.find("pomelohoist_agent_draining 1") != std::string::npos; }));
    EXPECT_EQ(this->get("/readyz").status, 503);
    EXPECT_EQ(read_response(channel).status, 200);
    stopping.join();
}

} // namespace
} // namespace pomelohoist
