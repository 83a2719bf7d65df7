#include "entry/http_server.h"

#include "common/listen_socket.h"
#include "entry/http_response.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

namespace {

constexpr int listen_backlog = 1024;
constexpr listener_threads threads{4, config::max_entry_connections, std::chrono::seconds{30},
                                   config::entry_thread_stack_bytes, listen_backlog};
constexpr std::chrono::seconds keep_alive{10};
constexpr head_limits limits_of_heads{config::max_request_head_bytes, config::max_header_fields,
                                      config::body_read_timeout, keep_alive, config::head_read_timeout};
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_unavailable = 503;

class request_handler : public exchange_handler {
  public:
    request_handler(http_service& served, const clock& time_source) : service(served), time(time_source) {}

    [[nodiscard]] head_limits limits() const override { return limits_of_heads; }

    void handle(request_head head, server_connection& connection) override {
        const steady_time arrived = this->time.now();
        raw_request raw = make_raw_request(std::move(head));
        http_response caller_response{connection, raw.method, this->time};
        if (this->serve_operator_path(raw, caller_response)) {
            return;
        }
        const result<done> read =
            connection.read_body(config::max_body_bytes, arrived + config::body_read_timeout, raw.body);
        if (!read) {
            this->service.refuse(raw, read.last_error(), caller_response);
            return;
        }
        this->service.serve(raw, arrived, caller_response);
    }

    void refuse(const failure& reason, server_connection& connection) override {
        http_response caller_response{connection, "", this->time};
        this->service.refuse({}, reason, caller_response);
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

} // namespace

http_server::http_server(const net_address& local, const clock& time_source)
    : time(time_source), socket(bind_listener(local, listen_backlog)), bound{local.ip, this->socket.address().port()} {}

http_server::~http_server() {
    this->stop();
}

void http_server::start(http_service& served) {
    this->handler = std::make_unique<request_handler>(served, this->time);
    this->listener = std::make_unique<http_listener>(this->socket, threads, *this->handler, this->time);
    this->listener->start();
}

void http_server::stop() {
    if (this->listener) {
        this->listener->stop();
        this->listener.reset();
    }
}

net_address http_server::local_address() const {
    return this->bound;
}

} // namespace pomelohoist
