#include "direct/caller_server.h"

#include "common/listen_socket.h"
#include "entry/http_response.h"
#include "entry/request_reader.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <utility>

namespace pomelohoist {

namespace {

constexpr int min_threads = 2;
constexpr int thread_idle_seconds = 10;
constexpr int listen_backlog = 1024;
constexpr int page_threads = 3;
constexpr int page_backlog = 32;
constexpr long long microseconds_per_millisecond = 1000;

Poco::Timespan to_poco(std::chrono::milliseconds duration) {
    return Poco::Timespan{duration.count() * microseconds_per_millisecond};
}

class caller_handler : public Poco::Net::HTTPRequestHandler {
  public:
    caller_handler(direct_service& request_service, const routing_state& current_state, const clock& time_source,
                   const std::atomic<bool>& is_closing)
        : service(request_service), state(current_state), time(time_source), closing(is_closing) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override {
        const steady_time arrived = this->time.now();
        auto& connected = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
        raw_request raw = read_header(request);
        http_response http_out{connected, response, this->time};
        caller_connection_monitor caller{connected.socket()};
        if (this->closing) {
            response.setKeepAlive(false);
        }
        const result<done> read = read_any_body(request, response, this->body_limit(), this->time, raw);
        if (!read) {
            // On a keep-alive connection the unread rest of the body would be parsed as the next request.
            response.setKeepAlive(false);
            this->service.refuse(raw, read.last_error(), http_out);
            return;
        }
        this->service.serve(raw, arrived, http_out, caller);
    }

  private:
    [[nodiscard]] std::uint64_t body_limit() const {
        const routing_snapshot snapshot = this->state.current();
        const std::uint64_t declared = snapshot.routing ? snapshot.routing->declared().limits.body_bytes : 0;
        return declared > 0 ? declared : config::max_body_bytes;
    }

    direct_service& service;
    const routing_state& state;
    const clock& time;
    const std::atomic<bool>& closing;
};

class caller_factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    caller_factory(direct_service& request_service, const routing_state& current_state, const clock& time_source,
                   const std::atomic<bool>& is_closing)
        : service(request_service), state(current_state), time(time_source), closing(is_closing) {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new caller_handler{this->service, this->state, this->time, this->closing};
    }

  private:
    direct_service& service;
    const routing_state& state;
    const clock& time;
    const std::atomic<bool>& closing;
};

class page_handler : public Poco::Net::HTTPRequestHandler {
  public:
    page_handler(const std::function<full_response()>& page, const clock& time_source)
        : render(page), time(time_source) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override {
        http_response http_out{dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request), response, this->time};
        http_out.send_response(this->render());
    }

  private:
    const std::function<full_response()>& render;
    const clock& time;
};

class page_factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    page_factory(std::function<full_response()> page, const clock& time_source)
        : render(std::move(page)), time(time_source) {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new page_handler{this->render, this->time};
    }

  private:
    std::function<full_response()> render;
    const clock& time;
};

} // namespace

caller_server::caller_server(const net_address& local, direct_service& request_service,
                             const routing_state& current_state, const clock& time_source)
    : service(request_service), state(current_state), time(time_source), socket(bind_listener(local, listen_backlog)) {}

caller_server::~caller_server() {
    if (this->server) {
        this->server->stopAll(true);
        this->pool->joinAll();
    }
}

void caller_server::start() {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(static_cast<int>(config::max_caller_threads));
    params->setMaxQueued(listen_backlog);
    params->setTimeout(to_poco(config::caller_read_timeout));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(to_poco(config::caller_keep_alive));
    this->pool = std::make_unique<Poco::ThreadPool>(min_threads, static_cast<int>(config::max_caller_threads),
                                                    thread_idle_seconds, config::caller_thread_stack_bytes);
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new caller_factory{this->service, this->state, this->time, this->closing}, *this->pool, this->socket, params);
    this->server->start();
}

page_server::page_server(const net_address& local, std::function<full_response()> render, const clock& time_source)
    : socket(bind_listener(local, page_backlog)) {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(page_threads);
    params->setMaxQueued(page_backlog);
    params->setTimeout(to_poco(config::caller_read_timeout));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(to_poco(config::caller_read_timeout));
    this->pool =
        std::make_unique<Poco::ThreadPool>(1, page_threads, thread_idle_seconds, config::caller_thread_stack_bytes);
    this->server = std::make_unique<Poco::Net::HTTPServer>(new page_factory{std::move(render), time_source},
                                                           *this->pool, this->socket, params);
    this->server->start();
}

page_server::~page_server() {
    this->server->stopAll(true);
    this->pool->joinAll();
}

} // namespace pomelohoist
