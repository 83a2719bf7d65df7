#include "routing/cooldown_list.h"

#include <algorithm>

namespace pomelohoist {

void cooldown_list::start_cooldown(const std::string& endpoint_name, std::chrono::milliseconds duration) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    // Removed endpoints would otherwise stay in the table for ever.
    std::erase_if(this->until, [now](const auto& mark) { return mark.second <= now; });
    steady_time& end = this->until[endpoint_name];
    end = std::max(end, now + duration);
}

void cooldown_list::clear(const std::string& endpoint_name) {
    const std::lock_guard lock{this->mutex};
    this->until.erase(endpoint_name);
}

bool cooldown_list::in_cooldown(const std::string& endpoint_name) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->until.find(endpoint_name);
    return found != this->until.end() && this->time.now() < found->second;
}

} // namespace pomelohoist
