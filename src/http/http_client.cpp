#include "http/http_client.h"

#include "http/cancellation.h"
#include "http/message_head.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelohoist {

namespace {

// Below the idle timeout of common servers, for servers that state none.
constexpr std::chrono::seconds idle_limit_default{20};

/// @returns head and body, or `internal` when a part of the head cannot be written
result<std::string> encode(const http_call& request, const net_address& target) {
    std::vector<inner::header_field> headers{{"Host", target.to_string()}, {"Connection", "Keep-Alive"}};
    if (!request.content_type.empty()) {
        headers.push_back({"Content-Type", request.content_type});
    }
    if (!request.body.empty() || request.method != "GET") {
        headers.push_back({"Content-Length", std::to_string(request.body.size())});
    }
    result<std::string> head = encode_request_head(request.method, request.path, headers);
    if (head) {
        *head += request.body;
    }
    return head;
}

std::string describe(exchange_state state, const std::string& defect) {
    if (!defect.empty()) {
        return defect;
    }
    return state == exchange_state::timed_out ? "no complete response in time" : "the connection was lost";
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
    result<std::string> bytes = encode(request, this->target);
    if (!bytes) {
        return this->failed(request.path, bytes.last_error().reason);
    }
    result<std::unique_ptr<http_connection>> connection = this->acquire(std::min(limits.idle, limits.total));
    if (!connection) {
        return connection.last_error();
    }
    if (!(*connection)->send(std::move(*bytes))) {
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
        return failure{error_kind::unreachable, describe(state, used.defect())};
    }
    return reply;
}

} // namespace pomelohoist
