#pragma once

#include <pomelohoist/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// A caller's HTTP client for tests, the demo and benchmarks.
namespace pomelohoist::test_support {

struct http_request {
    std::string method{"GET"};
    std::string path{"/"};
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{20000};

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
    std::uint16_t status{0}; ///< 0: no answer came
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete{false};                   ///< the body came to its declared end
    std::chrono::microseconds first_byte{}; ///< from the send to the first byte of the body
    std::chrono::microseconds total{};

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// Receives pieces of the body as they arrive.
/// @returns false to close the connection
using body_sink = std::function<bool(const std::string& piece)>;

/// Sends one request on a connection of its own.
http_response send_http(const net_address& target, const http_request& request, const body_sink& sink = {});

} // namespace pomelohoist::test_support
