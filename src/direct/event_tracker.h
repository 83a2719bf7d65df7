#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Cuts a stream into events and keeps their order.
namespace pomelohoist {

/// @returns the value of the event's `id` field, or nothing
std::optional<std::string> id_of_event(const std::string& event);

/// Passes on whole events only, each id once and in order, so that a stream that goes on at another endpoint reads like
/// one stream.
class event_tracker {
  public:
    /// @param resume_after id after which the caller asked to go on, or empty
    explicit event_tracker(std::string resume_after) : last(std::move(resume_after)) {}

    /// Adds bytes and takes the whole events out of them.
    /// @returns the events to pass on, or nothing when an event is out of order
    std::optional<std::string> take(const std::string& bytes);
    /// @returns the bytes after the last whole event
    [[nodiscard]] const std::string& rest() const { return this->buffer; }
    /// Drops the unfinished event of a run that broke off.
    void drop_rest() { this->buffer.clear(); }
    /// @returns id of the last event that was passed on; empty before the first
    [[nodiscard]] const std::string& last_id() const { return this->last; }
    [[nodiscard]] std::uint64_t passed() const { return this->number; }

  private:
    std::string buffer;
    std::string last;
    std::uint64_t number{0};
};

} // namespace pomelohoist
