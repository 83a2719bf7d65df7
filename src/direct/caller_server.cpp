#include "direct/caller_server.h"

#include "common/listen_socket.h"
#include "entry/http_response.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

namespace {

constexpr int listen_backlog = 1024;
constexpr listener_threads caller_threads{2, config::max_caller_threads, std::chrono::seconds{10},
                                          config::caller_thread_stack_bytes, listen_backlog};
constexpr int page_backlog = 32;
constexpr listener_threads page_threads{1, 3, std::chrono::seconds{10}, config::caller_thread_stack_bytes,
                                        page_backlog};
constexpr head_limits limits_of_callers{config::max_request_head_bytes, std::nullopt, config::caller_read_timeout,
                                        config::caller_keep_alive, config::head_read_timeout};
constexpr head_limits limits_of_pages{config::max_request_head_bytes, std::nullopt, config::caller_read_timeout,
                                      config::caller_read_timeout, config::caller_read_timeout};

class caller_handler : public exchange_handler {
  public:
    caller_handler(direct_service& request_service, const routing_state& current_state, const clock& time_source,
                   const std::atomic<bool>& is_closing)
        : service(request_service), state(current_state), time(time_source), closing(is_closing) {}

    [[nodiscard]] head_limits limits() const override { return limits_of_callers; }

    void handle(request_head head, server_connection& connection) override {
        const steady_time arrived = this->time.now();
        raw_request raw = make_raw_request(std::move(head));
        http_response http_out{connection, raw.method, this->time};
        caller_connection_monitor caller{connection.socket()};
        if (this->closing) {
            connection.close_after_response();
        }
        const result<done> read =
            connection.read_body(this->body_limit(), arrived + config::body_read_timeout, raw.body);
        if (!read) {
            this->service.refuse(raw, read.last_error(), http_out);
            return;
        }
        this->service.serve(raw, arrived, http_out, caller);
    }

    void refuse(const failure& reason, server_connection& connection) override {
        http_response http_out{connection, "", this->time};
        this->service.refuse({}, reason, http_out);
    }

  private:
    [[nodiscard]] std::uint64_t body_limit() const {
        const routing_snapshot snapshot = this->state.current();
        return snapshot.routing ? snapshot.routing->declared().limits.body_bytes.value_or(config::max_body_bytes)
                                : config::max_body_bytes;
    }

    direct_service& service;
    const routing_state& state;
    const clock& time;
    const std::atomic<bool>& closing;
};

class page_handler : public exchange_handler {
  public:
    page_handler(std::function<full_response()> page, const clock& time_source)
        : render(std::move(page)), time(time_source) {}

    [[nodiscard]] head_limits limits() const override { return limits_of_pages; }

    void handle(request_head head, server_connection& connection) override {
        http_response{connection, head.method, this->time}.send_response(this->render());
    }

    void refuse(const failure& reason, server_connection& connection) override {
        http_response{connection, "", this->time}.send_failure({reason, std::nullopt, {}});
    }

  private:
    const std::function<full_response()> render;
    const clock& time;
};

} // namespace

caller_server::caller_server(const net_address& local, direct_service& request_service,
                             const routing_state& current_state, const clock& time_source)
    : socket(bind_listener(local, listen_backlog)),
      handler(std::make_unique<caller_handler>(request_service, current_state, time_source, this->closing)),
      listener(this->socket, caller_threads, *this->handler, time_source) {}

page_server::page_server(const net_address& local, std::function<full_response()> render, const clock& time_source)
    : socket(bind_listener(local, page_backlog)),
      handler(std::make_unique<page_handler>(std::move(render), time_source)),
      listener(this->socket, page_threads, *this->handler, time_source) {
    this->listener.start();
}

} // namespace pomelohoist
