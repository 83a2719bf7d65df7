#include "entry/http_server.h"

#include "common/listen_socket.h"
#include "entry/http_response.h"
#include "entry/request_reader.h"

#include <pomelohoist/config.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace pomelohoist {

namespace {

constexpr int min_threads = 4;
constexpr int thread_idle_seconds = 30;
constexpr int listen_backlog = 1024;
constexpr long keep_alive_seconds = 10;
constexpr long long microseconds_per_millisecond = 1000;
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_unavailable = 503;

class request_handler : public Poco::Net::HTTPRequestHandler {
  public:
    request_handler(http_service& served, const clock& time_source) : service(served), time(time_source) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override {
        const steady_time arrived = this->time.now();
        raw_request raw = read_header(request);
        http_response caller_response{dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request), response, this->time};
        if (this->serve_operator_path(raw, caller_response)) {
            return;
        }
        const result<done> read = read_body(request, response, this->time, raw);
        if (!read) {
            // On a keep-alive connection the unread rest of the body would be parsed as the next request.
            response.setKeepAlive(false);
            this->service.refuse(raw, read.last_error(), caller_response);
            return;
        }
        this->service.serve(raw, arrived, caller_response);
    }

  private:
    bool serve_operator_path(const raw_request& raw, response_sink& caller_response) {
        if (raw.target == "/healthz") {
            caller_response.send_response({http_ok, {{"Content-Type", "text/plain"}}, "ok\n"});
            return true;
        }
        if (raw.target == "/readyz") {
            const bool ready = this->service.is_ready();
            caller_response.send_response({ready ? http_ok : http_unavailable,
                                           {{"Content-Type", "text/plain"}},
                                           ready ? "ready\n" : "not ready\n"});
            return true;
        }
        if (raw.target == "/metrics") {
            caller_response.send_response(
                {http_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, this->service.render_metrics()});
            return true;
        }
        return false;
    }

    http_service& service;
    const clock& time;
};

class request_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    request_handler_factory(http_service& served, const clock& time_source) : service(served), time(time_source) {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new request_handler{this->service, this->time};
    }

  private:
    http_service& service;
    const clock& time;
};

} // namespace

http_server::http_server(const net_address& local, const clock& time_source)
    : time(time_source), socket(bind_listener(local, listen_backlog)), bound{local.ip, this->socket.address().port()} {}

http_server::~http_server() {
    this->stop();
}

void http_server::start(http_service& served) {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(config::max_entry_connections);
    params->setMaxQueued(listen_backlog);
    params->setTimeout(Poco::Timespan{config::body_read_timeout.count() * microseconds_per_millisecond});
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan{keep_alive_seconds, 0});
    this->pool = std::make_unique<Poco::ThreadPool>(min_threads, config::max_entry_connections, thread_idle_seconds,
                                                    config::entry_thread_stack_bytes);
    this->server = std::make_unique<Poco::Net::HTTPServer>(new request_handler_factory{served, this->time}, *this->pool,
                                                           this->socket, params);
    this->server->start();
}

void http_server::stop() {
    if (this->server) {
        this->server->stopAll(true);
        this->pool->joinAll();
        this->server.reset();
    }
}

net_address http_server::local_address() const {
    return this->bound;
}

} // namespace pomelohoist
