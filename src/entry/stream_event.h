#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Server-sent events of model streams.
namespace pomelohoist {

/// A complete event in the form of text/event-stream.
struct stream_event {
    std::string bytes;               ///< as received, including the blank line that ends the event
    std::optional<std::string> id;   ///< value of the `id` field
    std::optional<std::string> data; ///< values of the `data` fields, joined by line feeds; a blank line has none
    bool has_comment{false};
    bool has_extension{false}; ///< a field that text/event-stream does not name

    friend bool operator==(const stream_event&, const stream_event&) = default;
};

/// Fields that events may have beyond `data`, `event`, `id` and `retry`.
struct event_extensions {
    /// Name, in lower case, of a field with an integer that may stand in the first line of an event; "" for none.
    std::string number_in_first_line{};
    bool is_any_allowed{false}; ///< any name that is a token; recipients ignore fields that they do not know

    friend bool operator==(const event_extensions&, const event_extensions&) = default;
};

/// Splits the bytes of a stream into events. Checks all bytes as they arrive: UTF-8 text, lines of known fields or
/// comments, and at most `config::max_event_bytes` an event.
class stream_event_parser {
  public:
    explicit stream_event_parser(event_extensions allowed) : extensions(std::move(allowed)) {}

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
    /// @returns true when the line is a field or a comment, or may become one with more bytes
    [[nodiscard]] bool may_become_field(std::string_view line) const;
    /// @param is_first_line of its event
    void read_field(std::string_view line, bool is_first_line);
    /// @returns true when the field is an extension that may stand there
    [[nodiscard]] bool is_extension(std::string_view name, std::string_view value, bool is_first_line) const;
    stream_event extract_event();

    event_extensions extensions;
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
