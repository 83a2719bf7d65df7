#pragma once

#include "http/http_connection.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

/// HTTP client for short calls whose response is read whole.
namespace pomelohoist {

/// A request with its whole body.
struct http_call {
    std::string method;
    std::string path;
    std::string body{};
    std::string content_type{}; ///< empty: no such field

    friend bool operator==(const http_call&, const http_call&) = default;
};

/// What a server may use up with one response.
struct call_limits {
    std::chrono::milliseconds idle;  ///< for connecting, for the head, and for each wait for a part of the body
    std::chrono::milliseconds total; ///< for the whole call
    std::size_t body_bytes;

    friend bool operator==(const call_limits&, const call_limits&) = default;
};

/// A response with its whole body.
struct http_reply {
    http_response_head head;
    std::string body;

    friend bool operator==(const http_reply&, const http_reply&) = default;
};

/// Client of one server. Keeps one connection open between calls.
/// @attention used by one thread
class http_client {
  public:
    http_client(net_address server, const clock& time_source) : target(std::move(server)), time(time_source) {}

    /// @returns the complete response, or `unreachable` when the server did not send one within the limits; it may have
    /// executed the request nevertheless
    result<http_reply> call(const http_call& request, const call_limits& limits);

  private:
    /// @returns the open connection, or a new one
    result<std::unique_ptr<http_connection>> acquire(std::chrono::milliseconds timeout);
    result<http_reply> read_reply(http_connection& used, bool is_head_request, const call_limits& limits,
                                  steady_time end);
    [[nodiscard]] failure failed(const std::string& path, const std::string& reason) const;

    net_address target;
    const clock& time;
    std::unique_ptr<http_connection> idle;
};

} // namespace pomelohoist
