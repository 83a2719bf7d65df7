#include "direct/event_tracker.h"

#include <charconv>
#include <optional>

namespace pomelohoist {

namespace {

std::optional<std::uint64_t> parse_id(const std::string& text) {
    std::uint64_t id = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, id);
    return error == std::errc{} && stopped == end ? std::optional{id} : std::nullopt;
}

/// @param previous id of the event before, or empty
bool may_follow(const std::string& previous, const stream_event& event) {
    const bool has_data = event.data && !event.data->empty();
    if (!event.id || !has_data || event.has_comment) {
        return false;
    }
    const std::optional<std::uint64_t> id = parse_id(*event.id);
    const std::optional<std::uint64_t> before = parse_id(previous);
    // An id from the caller that is no number cannot be compared.
    return id && (!before || *id > *before);
}

} // namespace

std::string event_tracker::extract_events(const std::string& bytes) {
    this->parser.append(bytes);
    std::string events;
    while (!this->broken) {
        const std::optional<stream_event> event = this->parser.next();
        if (!event) {
            break;
        }
        this->broken = !may_follow(this->last, *event);
        if (!this->broken) {
            this->last = *event->id;
            ++this->number;
            events += event->bytes;
        }
    }
    return events;
}

void event_tracker::begin_run() {
    this->parser.reset();
    this->broken = false;
}

} // namespace pomelohoist
