#include "routing/cooldown_list.h"

#include <algorithm>

namespace pomelohoist {

void cooldown_list::start_cooldown(const std::string& endpoint_name, std::chrono::milliseconds duration) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    // Expired entries are erased here; otherwise the entries of removed endpoints would never be erased.
    std::erase_if(this->cooldown_ends, [now](const auto& entry) { return entry.second <= now; });
    steady_time& end = this->cooldown_ends[endpoint_name];
    end = std::max(end, now + duration);
}

void cooldown_list::clear(const std::string& endpoint_name) {
    const std::lock_guard lock{this->mutex};
    this->cooldown_ends.erase(endpoint_name);
}

bool cooldown_list::in_cooldown(const std::string& endpoint_name) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->cooldown_ends.find(endpoint_name);
    return found != this->cooldown_ends.end() && this->time.now() < found->second;
}

} // namespace pomelohoist
