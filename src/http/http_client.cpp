#include "http/http_client.h"

#include "http/cancellation.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

// Below the idle timeout of common servers, for servers that state none.
constexpr std::chrono::seconds idle_limit_default{20};

std::string encode(const http_call& request, const net_address& target) {
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + target.to_string() +
                       "\r\nConnection: Keep-Alive\r\n";
    if (!request.content_type.empty()) {
        text += "Content-Type: " + request.content_type + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string describe(exchange_state state) {
    return state == exchange_state::timed_out ? "no complete response in time"
                                              : "the connection was lost, or the response is malformed";
}

} // namespace

failure http_client::failed(const std::string& path, const std::string& reason) const {
    return {error_kind::unreachable, this->target.to_string() + path + ": " + reason};
}

result<std::unique_ptr<http_connection>> http_client::acquire(std::chrono::milliseconds timeout) {
    std::unique_ptr<http_connection> kept = std::move(this->idle);
    if (kept && this->time.now() - kept->idle_since < kept->idle_limit.value_or(idle_limit_default) &&
        !kept->is_unusable()) {
        return kept;
    }
    return http_connection::open(this->target, timeout, this->time);
}

result<http_reply> http_client::call(const http_call& request, const call_limits& limits) {
    const steady_time end = this->time.now() + limits.total;
    result<std::unique_ptr<http_connection>> connection = this->acquire(std::min(limits.idle, limits.total));
    if (!connection) {
        return connection.last_error();
    }
    if (!(*connection)->send(encode(request, this->target))) {
        return this->failed(request.path, "the connection was lost while sending");
    }
    result<http_reply> reply = this->read_reply(**connection, request.method == "HEAD", limits, end);
    if (!reply) {
        return this->failed(request.path, reply.last_error().reason);
    }
    if ((*connection)->is_reusable()) {
        this->idle = std::move(*connection);
        this->idle->idle_since = this->time.now();
    }
    return reply;
}

result<http_reply> http_client::read_reply(http_connection& used, bool is_head_request, const call_limits& limits,
                                           steady_time end) {
    no_cancellation none;
    http_reply reply;
    exchange_state state =
        used.read_head(is_head_request, std::min(this->time.now() + limits.idle, end), none, reply.head);
    while (state == exchange_state::ready) {
        state = used.read_body(reply.body, std::min(this->time.now() + limits.idle, end), none);
        if (reply.body.size() > limits.body_bytes) {
            return failure{error_kind::unreachable,
                           "the response exceeds " + std::to_string(limits.body_bytes) + " bytes"};
        }
    }
    if (state != exchange_state::complete) {
        return failure{error_kind::unreachable, describe(state)};
    }
    return reply;
}

} // namespace pomelohoist
