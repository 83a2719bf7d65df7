#pragma once

#include <pomelohoist/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// HTTP client that acts as a caller in tests, the demo and benchmarks.
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
    std::uint16_t status{0}; ///< 0: no response was received
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete{false};                   ///< the body was received up to its declared end
    std::chrono::microseconds first_byte{}; ///< from sending the request to the first byte of the body
    std::chrono::microseconds total{};

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// Called with each piece of the body as it arrives.
/// @returns false to close the connection
using body_sink = std::function<bool(const std::string& piece)>;

/// Sends one request on a new connection.
http_response send_http(const net_address& target, const http_request& request, const body_sink& sink = {});

} // namespace pomelohoist::test_support
