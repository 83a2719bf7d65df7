#include "direct/stall_detector.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

bool stall_detector::is_quiet_for(const progress& known, steady_time::duration limit) const {
    return known.under_way > 0 && this->time.now() - known.last_event > limit;
}

void stall_detector::begin(const std::string& group) {
    const std::lock_guard lock{this->mutex};
    progress& known = this->groups[group];
    // The first request to a suspect group leaves it silent, so that no second one follows before an event.
    if (known.under_way == 0 && !known.is_suspect) {
        known.last_event = this->time.now();
    }
    ++known.under_way;
}

void stall_detector::note_event(const std::string& group) {
    const std::lock_guard lock{this->mutex};
    progress& known = this->groups[group];
    known.last_event = this->time.now();
    known.is_suspect = false;
}

void stall_detector::end(const std::string& group) {
    const std::lock_guard lock{this->mutex};
    progress& known = this->groups[group];
    const bool was_silent = this->is_quiet_for(known, config::group_silence_limit);
    --known.under_way;
    if (known.under_way == 0 && was_silent) {
        known.is_suspect = true;
        known.suspect_until = this->time.now() + config::group_suspect_time;
    }
}

bool stall_detector::is_silent(const std::string& group) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->groups.find(group);
    if (found == this->groups.end()) {
        return false;
    }
    const progress& known = found->second;
    return known.under_way == 0 ? known.is_suspect && this->time.now() < known.suspect_until
                                : this->is_quiet_for(known, config::group_silence_limit);
}

bool stall_detector::is_stalled(const std::string& group) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->groups.find(group);
    return found != this->groups.end() && this->is_quiet_for(found->second, config::group_stall_limit);
}

watched_stream::watched_stream(stall_detector& groups, std::string group_name)
    : detector(groups), group(std::move(group_name)) {
    this->detector.begin(this->group);
}

watched_stream::~watched_stream() {
    this->detector.end(this->group);
}

} // namespace pomelohoist
