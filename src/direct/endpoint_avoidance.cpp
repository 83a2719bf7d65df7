#include "direct/endpoint_avoidance.h"

#include <pomelohoist/config.h>

#include <algorithm>

namespace pomelohoist {

void endpoint_avoidance::note_failure(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    record& known = this->records[endpoint];
    known.duration = std::clamp(known.duration * 2, config::endpoint_cooldown, config::max_endpoint_cooldown);
    known.until = this->time.now() + known.duration;
}

void endpoint_avoidance::note_refusal(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    record& known = this->records[endpoint];
    known.until = std::max(known.until, this->time.now() + config::endpoint_refusal_cooldown);
}

void endpoint_avoidance::note_success(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    this->records.erase(endpoint);
}

bool endpoint_avoidance::in_cooldown(endpoint_digest endpoint) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->records.find(endpoint);
    return found != this->records.end() && this->time.now() < found->second.until;
}

} // namespace pomelohoist
