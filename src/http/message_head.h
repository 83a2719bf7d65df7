#pragma once

#include "inner/messages.h"

#include <pomelohoist/error.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reader and writer of the heads of HTTP messages.
///
/// The value of a field is passed on byte for byte. Nothing is decoded, folded or left out: a head with a line that is
/// no field is refused as a whole, and so is a field that cannot be written on one line.
namespace pomelohoist {

struct request_head {
    std::string method;
    std::string target; ///< path and query
    bool is_http_1_0{false};
    std::vector<inner::header_field> headers;

    friend bool operator==(const request_head&, const request_head&) = default;
};

struct http_response_head {
    std::uint16_t status{0};
    std::vector<inner::header_field> headers;

    /// @returns the value of the first field with that name, ignoring case, or nothing
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
    /// @returns true when the response has the field more than once
    [[nodiscard]] bool repeats(std::string_view name) const;
    friend bool operator==(const http_response_head&, const http_response_head&) = default;
};

/// @param bytes from the request line to the blank line
/// @returns the head, or `bad_request`
result<request_head> parse_request_head(std::string_view bytes);

/// @param bytes from the status line to the blank line
/// @returns the head of an interim or final response, or `endpoint_failed`
result<http_response_head> parse_response_head(std::string_view bytes);

/// @returns the bytes up to the blank line, or `internal` when a part would not stay on its line
result<std::string> encode_request_head(std::string_view method, std::string_view target,
                                        const std::vector<inner::header_field>& headers);

/// @returns the bytes up to the blank line, or `internal` when a part would not stay on its line
result<std::string> encode_response_head(std::uint16_t status, const std::vector<inner::header_field>& headers);

} // namespace pomelohoist
