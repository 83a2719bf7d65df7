#include "placement/cooldown_tracker.h"

#include <pomelohoist/config.h>

#include <algorithm>

namespace pomelohoist {

void cooldown_tracker::record_failure(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    record& cooldown = this->records[endpoint];
    cooldown.duration = std::clamp(cooldown.duration * 2, config::endpoint_cooldown, config::max_endpoint_cooldown);
    cooldown.until = this->time.now() + cooldown.duration;
}

void cooldown_tracker::record_refusal(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    record& cooldown = this->records[endpoint];
    cooldown.until = std::max(cooldown.until, this->time.now() + config::endpoint_refusal_cooldown);
}

void cooldown_tracker::record_success(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    this->records.erase(endpoint);
}

bool cooldown_tracker::in_cooldown(endpoint_digest endpoint) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->records.find(endpoint);
    return found != this->records.end() && this->time.now() < found->second.until;
}

} // namespace pomelohoist
