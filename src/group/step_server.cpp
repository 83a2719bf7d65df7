#include "group/step_server.h"

#include "common/listen_socket.h"
#include "common/parse_json.h"

#include <pomelohoist/config.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <array>
#include <exception>
#include <istream>
#include <stdexcept>

namespace pomelohoist {

namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr int min_threads = 2;
// A rank sends one request at a time; the other threads serve connections that the rank has abandoned.
constexpr int max_threads = 8;
constexpr int listen_backlog = 64;

struct http_response {
    HTTPResponse::HTTPStatus status{HTTPResponse::HTTP_OK};
    json content;
};

/// @attention throws an exception when the body is too large
std::string read_body(Poco::Net::HTTPServerRequest& request) {
    std::string body;
    std::array<char, 4096> buffer{};
    std::istream& stream = request.stream();
    while (stream.read(buffer.data(), buffer.size()), stream.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > config::max_rank_response_bytes) {
            throw std::length_error("the body exceeds " + std::to_string(config::max_rank_response_bytes) + " bytes");
        }
    }
    return body;
}

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

http_response handle_step_request(rank_service& service, const std::string& body) {
    const step_response response = service.serve_step(parse_call(parse_json(body)));
    if (!response.granted) {
        return {HTTPResponse::HTTP_CONFLICT, {{"wait", true}, {"needs_map", response.needs_map}}};
    }
    const std::optional<map_start>& granted = response.granted;
    return {HTTPResponse::HTTP_OK,
            {{"map_version", granted->map.version},
             {"map_digest", std::to_string(granted->map.digest)},
             {"from_step", granted->from_step},
             {"needs_map", response.needs_map}}};
}

http_response handle_map_request(rank_service& service, const Poco::URI& target) {
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
        return {HTTPResponse::HTTP_NOT_FOUND, json::object()};
    }
    return {HTTPResponse::HTTP_OK, {{"version", id.version}, {"slots", slots}}};
}

class step_handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit step_handler(rank_service& served) : service(served) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override {
        http_response http_out{HTTPResponse::HTTP_NOT_FOUND, json::object()};
        try {
            const std::string body = read_body(request);
            const Poco::URI target{request.getURI()};
            if (request.getMethod() == "POST" && target.getPath() == "/step") {
                http_out = handle_step_request(this->service, body);
            } else if (request.getMethod() == "GET" && target.getPath() == "/map") {
                http_out = handle_map_request(this->service, target);
            } else if (request.getMethod() == "POST" && target.getPath() == "/map") {
                const json content = parse_json(body);
                const bool is_accepted = this->service.add_map(content.at("version").get<std::uint64_t>(),
                                                               content.at("slots").get<std::vector<std::uint32_t>>());
                http_out.status = is_accepted ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_BAD_REQUEST;
            }
        } catch (const std::exception& error) {
            http_out = {HTTPResponse::HTTP_BAD_REQUEST, {{"error", error.what()}}};
            response.setKeepAlive(false); // the rest of the body would be parsed as the next request
        }
        const std::string text = http_out.content.dump();
        response.setStatusAndReason(http_out.status);
        response.setContentType("application/json");
        response.sendBuffer(text.data(), text.size());
    }

  private:
    rank_service& service;
};

class step_factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit step_factory(rank_service& served) : service(served) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new step_handler{this->service};
    }

  private:
    rank_service& service;
};

} // namespace

step_server::step_server(const net_address& local, rank_service& served)
    : socket(bind_listener(local, listen_backlog)), bound{local.ip, this->socket.address().port()},
      pool(min_threads, max_threads) {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(max_threads);
    params->setMaxQueued(listen_backlog);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    this->server = std::make_unique<Poco::Net::HTTPServer>(new step_factory{served}, this->pool, this->socket, params);
    this->server->start();
}

step_server::~step_server() {
    this->server->stopAll(true);
    this->pool.joinAll();
}

} // namespace pomelohoist
