#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// Status codes of HTTP responses.
namespace pomelohoist {

/// @returns true when a response with this status is the only one to its request
[[nodiscard]] constexpr bool is_final_status(int status) {
    constexpr int first_final = 200;
    constexpr int last_final = 599;
    return status >= first_final && status <= last_final;
}

/// @returns true for an interim response; 101 is none, since no request asks for an upgrade
[[nodiscard]] constexpr bool is_interim_status(int status) {
    constexpr int first_interim = 100;
    constexpr int last_interim = 199;
    constexpr int switching_protocols = 101;
    return status >= first_interim && status <= last_interim && status != switching_protocols;
}

/// @param line beginning of a response, with at least its status line
/// @returns the status of an interim or final response, or nothing when the line is malformed
std::optional<std::uint16_t> parse_status_line(std::string_view line);

} // namespace pomelohoist
