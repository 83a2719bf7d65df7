#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Splits a stream into events and checks their order.
namespace pomelohoist {

/// @returns the value of the event's `id` field, or nothing
std::optional<std::string> id_of_event(const std::string& event);

/// Forwards complete events only, each id once and in order, so that a stream that is resumed at another endpoint reads
/// like one stream.
class event_tracker {
  public:
    /// @param resume_after id after which the caller resumes the stream, or empty
    explicit event_tracker(std::string resume_after) : last(std::move(resume_after)) {}

    /// Appends bytes to the buffer and removes the complete events from it.
    /// @returns the events to forward, possibly none, or nothing when an event is out of order or too long
    std::optional<std::string> extract_events(const std::string& bytes);
    /// @returns the bytes after the last complete event
    [[nodiscard]] const std::string& incomplete_event() const { return this->buffer; }
    /// Drops the incomplete event of an interrupted run.
    void drop_incomplete() { this->buffer.clear(); }
    /// @returns id of the last event that was extracted, or `resume_after` when none was extracted yet
    [[nodiscard]] const std::string& last_id() const { return this->last; }
    [[nodiscard]] std::uint64_t forwarded_count() const { return this->number; }

  private:
    std::string buffer;
    std::string last;
    std::uint64_t number{0};
};

} // namespace pomelohoist
