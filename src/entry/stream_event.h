#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Server-sent events of model streams.
namespace pomelohoist {

/// A complete event in the form of text/event-stream.
struct stream_event {
    std::string bytes;               ///< as received, including the blank line that ends the event
    std::optional<std::string> id;   ///< value of the `id` field
    std::optional<std::string> data; ///< values of the `data` fields, joined by line feeds; a blank line has none
    bool has_comment{false};

    friend bool operator==(const stream_event&, const stream_event&) = default;
};

/// Splits the bytes of a stream into events. Checks all bytes as they arrive: UTF-8 text, lines of known fields or
/// comments, and at most `config::max_event_bytes` an event.
class stream_event_parser {
  public:
    void append(const std::string& bytes) { this->buffer += bytes; }
    /// @returns the next complete event, or nothing when more bytes are needed or the next bytes are no event
    std::optional<stream_event> next();
    /// @returns true when the bytes after the last event cannot become an event
    [[nodiscard]] bool is_malformed() const { return this->malformed; }
    /// @returns the bytes after the last complete event
    [[nodiscard]] const std::string& incomplete_event() const { return this->buffer; }
    /// Drops all bytes after the last complete event.
    void reset();

  private:
    /// Checks the character at `position` and moves behind it.
    /// @returns false when its end has not arrived, or no event may contain it
    bool skip_character();
    /// Reads the line that ends before `position`.
    /// @returns true when the line ends the event
    bool end_line();
    void read_field(std::string_view line);
    stream_event extract_event();

    std::string buffer;
    std::size_t line_begin{0};
    std::size_t position{0}; ///< of the first character that is not checked
    stream_event current;    ///< fields of the incomplete event
    bool malformed{false};
};

/// Meaning of an event to the entry.
enum class stream_event_kind : std::uint8_t {
    text,    ///< carries one token of the response
    opening, ///< carries no text, such as the role at the beginning
    closing, ///< finish reason or [DONE]
    error,   ///< the engine reports an error
    unknown, ///< no event of a model stream
    count
};

/// @param data the event's data
stream_event_kind kind_of_event(const std::string& data);

} // namespace pomelohoist
