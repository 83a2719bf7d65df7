#include "group/step_server.h"

#include "common/listen_socket.h"
#include "common/parse_json.h"
#include "http/message_head.h"
#include "http/socket_writer.h"

#include <pomelohoist/config.h>

#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <exception>
#include <utility>

namespace pomelohoist {

namespace {

using nlohmann::json;

constexpr int listen_backlog = 64;
// A rank sends one request at a time; the other threads serve connections that the rank has abandoned.
constexpr listener_threads threads{2, 8, std::chrono::seconds{60}, config::entry_thread_stack_bytes, listen_backlog};
constexpr std::chrono::seconds read_timeout{60};
constexpr std::chrono::seconds keep_alive{15};
constexpr head_limits limits_of_heads{config::max_request_head_bytes, config::max_header_fields, read_timeout,
                                      keep_alive, config::head_read_timeout};
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_conflict = 409;

struct rank_reply {
    std::uint16_t status{status_ok};
    json content;
};

step_call parse_call(const json& content) {
    step_call call;
    call.request.step = content.at("step").get<std::uint64_t>();
    call.is_ready = content.value("is_ready", true);
    if (content.contains("last")) {
        const json& last = content.at("last");
        const map_id map{last.at("map_version").get<std::uint64_t>(),
                         std::stoull(last.at("map_digest").get<std::string>())};
        call.request.running = map_start{map, last.at("from_step").get<std::uint64_t>()};
        call.time_ms = last.value("time_ms", 0.0);
        call.tokens = last.value("tokens", std::vector<double>{});
    }
    return call;
}

rank_reply handle_step_request(rank_service& service, const std::string& body) {
    const step_response response = service.serve_step(parse_call(parse_json(body)));
    if (!response.granted) {
        return {status_conflict, {{"wait", true}, {"needs_map", response.needs_map}}};
    }
    const std::optional<map_start>& granted = response.granted;
    return {status_ok,
            {{"map_version", granted->map.version},
             {"map_digest", std::to_string(granted->map.digest)},
             {"from_step", granted->from_step},
             {"needs_map", response.needs_map}}};
}

rank_reply handle_map_request(rank_service& service, const Poco::URI& target) {
    map_id id;
    for (const auto& [name, value] : target.getQueryParameters()) {
        if (name == "version") {
            id.version = std::stoull(value);
        } else if (name == "digest") {
            id.digest = std::stoull(value);
        }
    }
    const std::vector<std::uint32_t> slots = service.find_map(id);
    if (slots.empty()) {
        return {status_not_found, json::object()};
    }
    return {status_ok, {{"version", id.version}, {"slots", slots}}};
}

rank_reply handle_request(rank_service& service, const request_head& head, const std::string& body) {
    try {
        const Poco::URI target{head.target};
        if (head.method == "POST" && target.getPath() == "/step") {
            return handle_step_request(service, body);
        }
        if (head.method == "GET" && target.getPath() == "/map") {
            return handle_map_request(service, target);
        }
        if (head.method == "POST" && target.getPath() == "/map") {
            const json content = parse_json(body);
            const bool is_accepted = service.add_map(content.at("version").get<std::uint64_t>(),
                                                     content.at("slots").get<std::vector<std::uint32_t>>());
            return {is_accepted ? status_ok : status_bad_request, json::object()};
        }
        return {status_not_found, json::object()};
    } catch (const std::exception& error) {
        return {status_bad_request, {{"error", error.what()}}};
    }
}

class step_handler : public exchange_handler {
  public:
    step_handler(rank_service& served, const clock& time_source) : service(served), time(time_source) {}

    [[nodiscard]] head_limits limits() const override { return limits_of_heads; }

    void handle(request_head head, server_connection& connection) override {
        std::string body;
        const result<done> read =
            connection.read_body(config::max_rank_response_bytes, this->time.now() + read_timeout, body);
        if (!read) {
            this->refuse(read.last_error(), connection);
            return;
        }
        this->respond(handle_request(this->service, head, body), connection);
    }

    void refuse(const failure& reason, server_connection& connection) override {
        this->respond({status_bad_request, {{"error", reason.reason}}}, connection);
    }

  private:
    void respond(const rank_reply& reply, server_connection& connection) {
        const std::string text = reply.content.dump();
        result<std::string> bytes =
            encode_response_head(reply.status, {{"Content-Type", "application/json"},
                                                {"Content-Length", std::to_string(text.size())},
                                                {"Connection", connection.stays_open() ? "Keep-Alive" : "Close"}});
        socket_writer writer{connection.socket(), this->time};
        const steady_time end = this->time.now() + read_timeout;
        if (!bytes || !writer.write(*bytes + text, {end, std::chrono::milliseconds{0}, std::chrono::milliseconds{0}})) {
            connection.close_after_response();
        }
    }

    rank_service& service;
    const clock& time;
};

} // namespace

step_server::step_server(const net_address& local, rank_service& served)
    : socket(bind_listener(local, listen_backlog)), bound{local.ip, this->socket.address().port()},
      handler(std::make_unique<step_handler>(served, this->time)),
      listener(this->socket, threads, *this->handler, this->time) {
    this->listener.start();
}

} // namespace pomelohoist
