#pragma once

#include "entry/stream_event.h"

#include <cstdint>
#include <string>
#include <utility>

/// Checks the events of a stream and their order.
namespace pomelohoist {

/// Forwards complete events only, each id once and in increasing order, so that a stream that is resumed at another
/// endpoint reads like one stream.
class event_tracker {
  public:
    /// @param resume_after id after which the caller resumes the stream, or empty
    /// @param extensions fields that events may have beyond those of text/event-stream
    explicit event_tracker(std::string resume_after, event_extensions extensions = {})
        : parser(std::move(extensions)), last(std::move(resume_after)) {}

    /// Appends bytes and removes the complete events from them.
    /// @returns the events to forward, possibly none
    std::string extract_events(const std::string& bytes);
    /// @returns true when the bytes after the events that were extracted are no event, or one out of order
    [[nodiscard]] bool is_broken() const { return this->broken || this->parser.is_malformed(); }
    /// @returns the bytes after the last complete event
    [[nodiscard]] const std::string& incomplete_event() const { return this->parser.incomplete_event(); }
    /// Drops what an interrupted run sent after the last event that was extracted.
    void begin_run();
    /// @returns id of the last event that was extracted, or `resume_after` when none was extracted yet
    [[nodiscard]] const std::string& last_id() const { return this->last; }
    [[nodiscard]] std::uint64_t forwarded_count() const { return this->number; }

  private:
    stream_event_parser parser;
    std::string last;
    std::uint64_t number{0};
    bool broken{false};
};

} // namespace pomelohoist
