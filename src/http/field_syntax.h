#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// What the parts of a head may consist of (RFC 9110, section 5).
namespace pomelohoist {

/// @returns true for the name of a field or a method
[[nodiscard]] bool is_token(std::string_view text);

/// @returns true when the text may be sent as the value of a field: bytes of text and tabs, without white space at
/// either end, where the recipient would remove it
[[nodiscard]] bool is_field_value(std::string_view text);

/// @returns true when the text may be sent as the target of a request
[[nodiscard]] bool is_request_target(std::string_view text);

/// @returns the text without spaces and tabs at both ends
[[nodiscard]] std::string_view trim_field_value(std::string_view text);

/// @returns true when both are equal, ignoring the case of ASCII letters
[[nodiscard]] bool equals_ignoring_case(std::string_view first, std::string_view second);

/// @returns true for one decimal digit or more, and nothing else
[[nodiscard]] bool is_decimal(std::string_view text);

/// @returns the number in a text of decimal digits only, or nothing when it is another text or beyond 64 bits
[[nodiscard]] std::optional<std::uint64_t> parse_decimal(std::string_view text);

} // namespace pomelohoist
