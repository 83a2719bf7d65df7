#include "../http_host.h"
#include "../request_counts.h"
#include "batch.h"
#include "token_rule.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <unistd.h>

namespace standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// A parsed completion request.
struct completion {
    std::string id;
    std::string model;
    std::string prompt;
    bool chat{false};
    bool stream{false};
    std::uint64_t max_tokens{16};
    std::uint64_t resume_from{0};
    int importance{0};
};

std::string prompt_of(const json& body, bool chat) {
    if (!chat) {
        return body.at("prompt").get<std::string>();
    }
    std::string prompt;
    for (const json& message : body.at("messages")) {
        prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
    }
    return prompt;
}

completion parse_completion(const json& body, bool chat, const std::string& request_id) {
    completion parsed;
    parsed.id = request_id;
    parsed.chat = chat;
    parsed.model = body.value("model", "standin");
    parsed.prompt = prompt_of(body, chat);
    parsed.stream = body.value("stream", false);
    parsed.max_tokens = body.value("max_tokens", parsed.max_tokens);
    parsed.resume_from = body.value("resume_from", parsed.resume_from);
    parsed.importance = body.value("priority", parsed.importance);
    return parsed;
}

json usage_of(const completion& request) {
    const std::uint64_t prompt_tokens = count_tokens(request.prompt);
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", request.max_tokens},
            {"total_tokens", prompt_tokens + request.max_tokens}};
}

json response_json(const completion& request, const std::string& text, bool is_chunk, bool is_last) {
    json choice{{"index", 0}, {"finish_reason", is_last ? json("length") : json(nullptr)}};
    if (!request.chat) {
        choice["text"] = text;
    } else if (is_chunk) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    const std::string object =
        request.chat ? (is_chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return {{"id", request.id}, {"object", object}, {"model", request.model}, {"choices", json::array({choice})}};
}

/// Holds a slot while a request runs.
class slot {
  public:
    explicit slot(batch& owner) : slots(owner) {}
    ~slot() { this->slots.release(); }
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;

  private:
    batch& slots;
};

class engine {
  public:
    engine(engine_options initial_options, const std::string& journal_path)
        : options(std::move(initial_options)), slots(options),
          boot_id(Poco::UUIDGenerator::defaultGenerator().createRandom().toString()), counts(journal_path) {}

    void serve(HTTPServerRequest& request, HTTPServerResponse& response) {
        try {
            this->route(request, response);
        } catch (const json::exception& error) {
            send_text(response, status_bad_request, json_type, json{{"error", {{"message", error.what()}}}}.dump());
        } catch (const Poco::Exception&) {
            // The client has disconnected; no response can be sent.
            return;
        }
    }

  private:
    void route(HTTPServerRequest& request, HTTPServerResponse& response) {
        const Poco::URI uri{request.getURI()};
        const std::string route = request.getMethod() + " " + uri.getPath();
        if (route == "POST /v1/completions" || route == "POST /v1/chat/completions") {
            this->complete(request, response, route == "POST /v1/chat/completions");
        } else if (route == "POST /orders") {
            this->serve_command(request, response);
        } else if (route == "GET /load") {
            const load_figures load = this->slots.lagged_load();
            const json body{{"running", load.running}, {"queued", load.queued}, {"slots", this->options.slots}};
            send_text(response, status_ok, json_type, body.dump());
        } else if (route == "GET /health") {
            send_text(response, status_ok, json_type, json{{"status", "ok"}, {"boot_id", this->boot_id}}.dump());
        } else if (route == "GET /cache_events") {
            this->list_events(uri, response);
        } else if (route == "PUT /standin/faults") {
            const json body = json::parse(read_body(request));
            this->slots.set_faults({body.value("stall_ms", 0U), body.value("slow_factor", 1.0)});
            send_text(response, status_ok, json_type, "{}");
        } else if (route == "GET /standin/counts") {
            send_text(response, status_ok, json_type, this->counts.to_json().dump());
        } else {
            send_text(response, status_not_found, json_type, R"({"error":{"message":"no such path"}})");
        }
    }

    void complete(HTTPServerRequest& request, HTTPServerResponse& response, bool chat) {
        const std::string body = read_body(request);
        const completion parsed = parse_completion(json::parse(body), chat, request.get("X-Request-Id", "none"));
        const auto is_disconnected = [&request] { return is_client_disconnected(request); };
        if (!this->slots.acquire(parsed.importance, is_disconnected)) {
            this->counts.add("cancelled", parsed.id);
            return;
        }
        const slot held{this->slots};
        this->counts.add("started", parsed.id);
        if (!this->options.crash_marker.empty() &&
            parsed.prompt.find(this->options.crash_marker) != std::string::npos) {
            _exit(1);
        }
        const std::uint64_t cached = this->slots.use_cache(parsed.prompt);
        const std::uint64_t prompt_tokens = count_tokens(parsed.prompt);
        this->slots.sleep_prefill(prompt_tokens > cached ? prompt_tokens - cached : 0);
        const bool is_full = parsed.stream ? this->send_stream(parsed, response, is_disconnected)
                                           : this->send_response(parsed, response, is_disconnected);
        this->counts.add(is_full ? "finished" : "cancelled", parsed.id);
    }

    bool send_response(const completion& parsed, HTTPServerResponse& response,
                       const std::function<bool()>& is_disconnected) {
        std::string text;
        for (std::uint64_t i = parsed.resume_from; i < parsed.max_tokens; ++i) {
            this->slots.sleep_token();
            text += token_text(parsed.prompt, i);
            if (is_disconnected()) {
                return false;
            }
        }
        json content = response_json(parsed, text, false, true);
        content["usage"] = usage_of(parsed);
        send_text(response, status_ok, json_type, content.dump());
        return true;
    }

    bool send_stream(const completion& parsed, HTTPServerResponse& response,
                     const std::function<bool()>& is_disconnected) {
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(true);
        std::ostream& out = response.send();
        for (std::uint64_t i = parsed.resume_from; i < parsed.max_tokens; ++i) {
            this->slots.sleep_token();
            json chunk = response_json(parsed, token_text(parsed.prompt, i), true, i + 1 == parsed.max_tokens);
            if (i + 1 == parsed.max_tokens) {
                chunk["usage"] = usage_of(parsed);
            }
            out << "data: " << chunk.dump() << "\n\n" << std::flush;
            if (!out || is_disconnected()) {
                return false;
            }
        }
        out << "data: [DONE]\n\n" << std::flush;
        return static_cast<bool>(out);
    }

    void serve_command(HTTPServerRequest& request, HTTPServerResponse& response) {
        const json body = json::parse(read_body(request));
        const std::uint64_t epoch = body.value("epoch", std::uint64_t{0});
        if (this->options.checks_fencing && !this->admit_epoch(epoch)) {
            send_text(response, status_conflict, json_type, R"({"error":{"message":"the epoch is too low"}})");
            return;
        }
        this->counts.add("orders", body.value("order", "none") + "@" + std::to_string(epoch));
        send_text(response, status_ok, json_type, "{}");
    }

    bool admit_epoch(std::uint64_t epoch) {
        std::uint64_t seen = this->highest_epoch;
        while (epoch > seen && !this->highest_epoch.compare_exchange_weak(seen, epoch)) {
        }
        return epoch >= seen;
    }

    void list_events(const Poco::URI& uri, HTTPServerResponse& response) {
        std::uint64_t since = 0;
        for (const auto& [name, value] : uri.getQueryParameters()) {
            since = name == "since" ? std::strtoull(value.c_str(), nullptr, 10) : since;
        }
        json list = json::array();
        for (const cache_event& event : this->slots.events(since)) {
            list.push_back({{"number", event.number}, {"block", event.block}, {"stored", event.stored}});
        }
        send_text(response, status_ok, json_type, json{{"events", list}}.dump());
    }

    engine_options options;
    batch slots;
    std::string boot_id;
    std::atomic<std::uint64_t> highest_epoch{0};
    request_counts counts;
};

int run(int argc, char** argv) {
    cxxopts::Options arguments{"standin-engine", "Stand-in for a model engine, for tests"};
    arguments.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "slots", "requests at once", cxxopts::value<std::uint32_t>()->default_value("8"))(
        "prefill-tokens-per-ms", "prefill rate", cxxopts::value<double>()->default_value("1000"))(
        "token-ms", "time per token", cxxopts::value<double>()->default_value("0.2"))(
        "cache-blocks", "prefix cache in blocks of 16 tokens", cxxopts::value<std::size_t>()->default_value("4096"))(
        "load-lag-ms", "age of the load report", cxxopts::value<std::uint32_t>()->default_value("200"))(
        "cache-event-lag-ms", "delay of cache events", cxxopts::value<std::uint32_t>()->default_value("500"))(
        "cache-event-gap", "every n-th event is lost", cxxopts::value<std::uint32_t>()->default_value("10"))(
        "fencing", "checked or ignored", cxxopts::value<std::string>()->default_value("checked"))(
        "crash-marker", "a prompt with this text ends the process with status 1",
        cxxopts::value<std::string>()->default_value(""))("journal", "file that each count is appended to",
                                                          cxxopts::value<std::string>()->default_value(""))(
        "help", "show this text");
    const auto parsed = arguments.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << arguments.help();
        return EXIT_SUCCESS;
    }
    engine_options options;
    options.slots = parsed["slots"].as<std::uint32_t>();
    options.prefill_tokens_per_ms = parsed["prefill-tokens-per-ms"].as<double>();
    options.token_ms = parsed["token-ms"].as<double>();
    options.cache_blocks = parsed["cache-blocks"].as<std::size_t>();
    options.load_lag_ms = parsed["load-lag-ms"].as<std::uint32_t>();
    options.cache_event_lag_ms = parsed["cache-event-lag-ms"].as<std::uint32_t>();
    options.cache_event_gap = parsed["cache-event-gap"].as<std::uint32_t>();
    options.checks_fencing = parsed["fencing"].as<std::string>() != "ignored";
    options.crash_marker = parsed["crash-marker"].as<std::string>();
    engine served{options, parsed["journal"].as<std::string>()};
    return serve_until_signal(parsed["listen"].as<std::string>(),
                              [&served](auto& request, auto& response) { served.serve(request, response); });
}

} // namespace
} // namespace standin

int main(int argc, char** argv) {
    return standin::run_standin("standin-engine", [=] { return standin::run(argc, argv); });
}
