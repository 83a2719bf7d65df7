#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Server-sent events of model streams.
namespace pomelohoist {

/// Meaning of an event to the entry.
enum class stream_event_kind : std::uint8_t {
    text,    ///< carries one token of the response
    opening, ///< carries no text, such as the role at the beginning
    closing, ///< finish reason or [DONE]
    error,   ///< the engine reports an error
    count
};

/// Removes the first complete event from the buffer.
/// @returns the event including its blank line, or nothing while the event is incomplete
std::optional<std::string> extract_event(std::string& buffer);

stream_event_kind kind_of_event(const std::string& event);

} // namespace pomelohoist
