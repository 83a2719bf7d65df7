#include "direct/event_tracker.h"

#include "entry/stream_event.h"

#include <pomelohoist/config.h>

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <sstream>
#include <string_view>

namespace pomelohoist {

namespace {

/// @returns true when `id` may follow `previous`: numeric ids must grow, other ids must only differ
bool may_follow(const std::string& previous, const std::string& id) {
    Poco::UInt64 before = 0;
    Poco::UInt64 after = 0;
    if (Poco::NumberParser::tryParseUnsigned64(previous, before) && Poco::NumberParser::tryParseUnsigned64(id, after)) {
        return after > before;
    }
    return previous != id;
}

} // namespace

std::optional<std::string> id_of_event(const std::string& event) {
    constexpr std::string_view prefix = "id:";
    std::istringstream lines{event};
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix)) {
            return Poco::trim(line.substr(prefix.size()));
        }
    }
    return std::nullopt;
}

std::optional<std::string> event_tracker::extract_events(const std::string& bytes) {
    this->buffer += bytes;
    std::string events;
    while (std::optional<std::string> event = extract_event(this->buffer)) {
        const std::optional<std::string> id = id_of_event(*event);
        if (id) {
            if (!this->last.empty() && !may_follow(this->last, *id)) {
                return std::nullopt;
            }
            this->last = *id;
        }
        ++this->number;
        events += *event;
    }
    if (this->buffer.size() > config::max_event_bytes) {
        return std::nullopt;
    }
    return events;
}

} // namespace pomelohoist
