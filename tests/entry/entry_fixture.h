#pragma once

#include "common/digest.h"
#include "entry/entry_daemon.h"
#include "fake_agent.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <mutex>

/// A complete entry over real sockets, with scripted agents and fakes for claims and configuration.
namespace pomelohoist {

/// Holds a current and a newest configuration; a pull makes the newest one current.
class fake_source : public configuration_source {
  public:
    [[nodiscard]] configuration_ptr current() const override {
        const std::lock_guard lock{this->mutex};
        return this->current_configuration;
    }
    result<done> pull_from(const net_address& /*peer*/, std::uint64_t /*version*/) override {
        const std::lock_guard lock{this->mutex};
        ++this->pulls;
        this->current_configuration = this->newest_configuration;
        return done{};
    }
    [[nodiscard]] bool is_leaving(const std::string& host) const override { return host == this->leaving_host; }
    [[nodiscard]] std::uint64_t host_list_version() const override { return 0; }
    inner::announce_response handle_announce(const inner::announce& /*received*/) override { return {}; }
    inner::pull_response handle_pull(const inner::pull_request& /*received*/) override { return {}; }

    mutable std::mutex mutex;
    configuration_ptr current_configuration{std::make_shared<configuration>()};
    configuration_ptr newest_configuration;
    std::string leaving_host;
    int pulls{0};
};

/// Claims in memory. `down` makes all calls fail, `loses_completions` makes only `complete` fail.
class fake_claims : public claim_access {
  public:
    result<claim_record> insert(const entry_request& request, const claim& new_claim) override {
        const std::lock_guard lock{this->mutex};
        if (this->down) {
            return failure{error_kind::store_unavailable, "down"};
        }
        const auto [row, inserted] = this->rows.try_emplace(key_of(request), claim_record{new_claim, 1, true});
        return claim_record{row->second.content, row->second.revision, inserted};
    }
    result<std::optional<claim_record>> find(const entry_request& request) override {
        const std::lock_guard lock{this->mutex};
        if (this->down) {
            return failure{error_kind::store_unavailable, "down"};
        }
        const auto row = this->rows.find(key_of(request));
        return row == this->rows.end() ? std::optional<claim_record>{} : std::optional{row->second};
    }
    result<claim_record> take_over(const entry_request& request, const claim_record& previous,
                                   const claim& new_claim) override {
        const std::lock_guard lock{this->mutex};
        if (this->down) {
            return failure{error_kind::store_unavailable, "down"};
        }
        claim_record& row = this->rows.at(key_of(request));
        if (row.revision == previous.revision) {
            row = {new_claim, row.revision + 1, true};
        }
        return row;
    }
    result<done> complete(const entry_request& request, const claim_record& own,
                          const inner::stored_response& response) override {
        const std::lock_guard lock{this->mutex};
        if (this->down || this->loses_completions) {
            return failure{error_kind::store_unavailable, "down"};
        }
        claim_record& row = this->rows.at(key_of(request));
        if (row.content.attempt == own.content.attempt) {
            row.content.state = claim_state::completed;
            row.content.response = response;
            ++row.revision;
        }
        return done{};
    }

    std::mutex mutex;
    bool down{false};
    bool loses_completions{false};
    std::map<std::string, claim_record> rows;

    static std::string key_of(const entry_request& request) {
        return request.workspace + "/" + request.idempotency_key;
    }
};

/// Records the finished spans.
class recording_exporter : public span_exporter {
  public:
    void export_span(const span_record& finished) override {
        const std::lock_guard lock{this->mutex};
        this->finished_spans.push_back(finished);
    }
    std::mutex mutex;
    std::vector<span_record> finished_spans;
};

class fake_platform : public entry_platform_factory {
  public:
    result<entry_platform> connect(const settings& /*checked*/, const daemon_context& /*context*/,
                                   inner::datagram_endpoint& /*calls*/, const entry_addresses& /*bound*/) override {
        auto new_source = std::make_unique<fake_source>();
        auto new_claims = std::make_unique<fake_claims>();
        this->source = new_source.get();
        this->claims = new_claims.get();
        return entry_platform{std::move(new_source), std::move(new_claims), nullptr};
    }
    fake_source* source{nullptr};
    fake_claims* claims{nullptr};
};

struct call_result {
    int status{0};
    std::string body;
    std::string retry_after;
    std::string request_id;

    [[nodiscard]] nlohmann::json error() const {
        const auto parsed = nlohmann::json::parse(this->body, nullptr, false);
        return parsed.is_object() ? parsed.value("error", nlohmann::json::object()) : nlohmann::json::object();
    }
    [[nodiscard]] std::string kind() const { return this->error().value("kind", ""); }
    [[nodiscard]] bool not_run() const { return this->error().value("not_run", false); }
};

struct http_call {
    std::string method{"POST"};
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
};

class entry_fixture : public testing::Test {
  public:
    ~entry_fixture() override { this->entry->stop(); }

  protected:
    static constexpr const char* bearer_key = "secret-key";

    entry_fixture() {
        std::signal(SIGPIPE, SIG_IGN);
        const auto* info = testing::UnitTest::GetInstance()->current_test_info();
        std::string file = testing::TempDir() + "entry-" + std::to_string(::getpid()) + "-" + info->name();
        std::replace(file.begin() + static_cast<std::ptrdiff_t>(testing::TempDir().size()), file.end(), '/', '-');
        std::ofstream{file} << "[process]\nname = entry-1\ndata_centre = dc-1\nhost = host-0\n[http]\naddress = "
                               "127.0.0.1:0\n[inner]\naddress = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n";
        settings_schema schema = common_schema();
        for (const setting_spec& key : this->factory.schema()) {
            schema.push_back(key);
        }
        const result<settings> loaded = settings::load(file, schema);
        EXPECT_TRUE(loaded) << loaded.last_error().reason;
        this->entry = this->factory.create(*loaded, this->context);
        const result<std::string> addresses = this->entry->start();
        EXPECT_TRUE(addresses) << addresses.last_error().reason;
        const std::size_t split = addresses->find(" http=");
        this->inner_address = *net_address::parse(addresses->substr(6, split - 6));
        this->http = *net_address::parse(addresses->substr(split + 6));
        std::remove(file.c_str());
    }
    /// Declares a model endpoint and a service endpoint at each agent.
    configuration_ptr declare(std::uint64_t version) {
        object_map objects;
        objects[{object_kind::workspace, "ws"}].values = {{"key_sha256", sha256_hex(bearer_key)}, {"label.team", "a"}};
        objects[{object_kind::workspace, "other"}].values = {{"key_sha256", sha256_hex("other-key")}};
        objects[{object_kind::application, "default"}].values = {};
        objects[{object_kind::application, "once"}].values = {{"idempotent", "false"}};
        objects[{object_kind::selector, "all"}].values = {
            {"workspaces", "team=a"}, {"applications", "*"}, {"endpoints", "*"}};
        for (std::size_t i = 0; i < this->agents.size(); ++i) {
            for (const std::string kind : {"model", "service"}) {
                objects[{object_kind::endpoint, kind + std::to_string(i)}].values = {
                    {"kind", kind},
                    {"agent", this->agents[i]->address().to_string()},
                    {"data_centre", "dc-1"},
                    {"host", "host-" + std::to_string(i)},
                    {"serves", kind == "model" ? "m" : "desk"}};
            }
        }
        const result<configuration> built = configuration::build(version, objects);
        EXPECT_TRUE(built) << built.last_error().reason;
        return std::make_shared<const configuration>(*built);
    }

    void start_agents(std::size_t number) {
        for (std::size_t i = 0; i < number; ++i) {
            this->agents.push_back(std::make_unique<fake_agent>("agent-" + std::to_string(i)));
            // The first agent has the shortest wait and is preferred, so its script is used first.
            this->agents.back()->first_token_ms = static_cast<std::uint32_t>(10 * (i + 1));
        }
        this->platform.source->current_configuration = this->declare(1);
        this->platform.source->newest_configuration = this->platform.source->current_configuration;
    }

    std::unique_ptr<Poco::Net::HTTPClientSession> send(const http_call& call) {
        auto session = std::make_unique<Poco::Net::HTTPClientSession>(this->http.ip, this->http.port);
        session->setTimeout(Poco::Timespan{20, 0});
        Poco::Net::HTTPRequest request{call.method, call.path, "HTTP/1.1"};
        request.set("Authorization", std::string{"Bearer "} + bearer_key);
        for (const auto& [name, value] : call.headers) {
            request.set(name, value);
        }
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        session->sendRequest(request) << call.body << std::flush;
        return session;
    }

    call_result call(const http_call& call) {
        const auto session = this->send(call);
        Poco::Net::HTTPResponse response;
        std::istream& stream = session->receiveResponse(response);
        call_result received;
        received.body.assign(std::istreambuf_iterator<char>{stream}, {});
        received.status = response.getStatus();
        received.retry_after = response.get("Retry-After", "");
        received.request_id = response.get("X-Request-Id", "");
        return received;
    }

    static http_call model(bool stream, std::map<std::string, std::string> headers = {}) {
        const std::string body = std::string{R"({"model":"m","stream":)"} + (stream ? "true" : "false") +
                                 R"(,"messages":[{"role":"user","content":"hi"}]})";
        return {"POST", "/v1/chat/completions", body, std::move(headers)};
    }
    static http_call desk(const std::string& body, std::map<std::string, std::string> headers = {}) {
        return {"POST", "/services/desk/book", body, std::move(headers)};
    }
    [[nodiscard]] int total_runs() {
        int total = 0;
        for (const auto& agent : this->agents) {
            total += agent->total_runs();
        }
        return total;
    }
    [[nodiscard]] int total_suspects() {
        int total = 0;
        for (const auto& agent : this->agents) {
            total += agent->suspects;
        }
        return total;
    }

    system_clock time;
    seeded_random random{42};
    structured_log log{make_null_log()};
    recording_exporter spans;
    metrics_registry metrics;
    daemon_context context{time, random, log, spans, metrics};
    fake_platform platform;
    entry_daemon_factory factory{platform};
    std::unique_ptr<daemon> entry;
    net_address http;
    net_address inner_address;
    std::vector<std::unique_ptr<fake_agent>> agents;
};

inline std::string complete_stream() {
    std::string text = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n";
    for (std::uint64_t token = 0; token < fake_tokens; ++token) {
        text += "data: {\"choices\":[{\"delta\":{\"content\":\"t" + std::to_string(token) + "\"}}]}\n\n";
    }
    return text + "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
}

} // namespace pomelohoist
