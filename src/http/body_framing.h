#pragma once

#include "http/message_head.h"

#include <pomelohoist/error.h>

#include <cstdint>

/// How the end of a body is stated (RFC 9112, section 6).
namespace pomelohoist {

struct body_framing {
    enum class kind : std::uint8_t { none, length, chunked, until_close, count };

    kind form{kind::none};
    std::uint64_t bytes{0}; ///< of a body with a length

    friend bool operator==(const body_framing&, const body_framing&) = default;
};

/// @returns the framing, or `bad_request` when the fields do not state exactly one
result<body_framing> request_framing(const request_head& head);

/// @returns the framing, or `endpoint_failed` when the fields do not state exactly one
result<body_framing> response_framing(const http_response_head& head, bool is_head_request);

/// @returns true when a response with this status has no body, whatever its fields state
[[nodiscard]] bool is_bodiless_status(std::uint16_t status);

} // namespace pomelohoist
