#include "agent/suspect_list.h"

#include <algorithm>

namespace pomelohoist {

namespace {

// Each death names at most the requests in flight at one endpoint, so this holds the deaths of a bad hour.
constexpr std::size_t max_events = 4096;
constexpr std::size_t max_suspects = 16384;

} // namespace

void suspect_list::record(const std::string& event_id, const std::vector<std::string>& digests) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    if (!this->event_ids.insert(event_id).second) {
        return;
    }
    const steady_time expires = this->time.now() + config::suspect_lifetime;
    this->events.push_back({event_id, expires});
    if (this->events.size() > max_events) {
        this->event_ids.erase(this->events.front().id);
        this->events.pop_front();
    }
    // The same request may be in flight twice at one endpoint; that is still one death.
    const std::set<std::string> different{digests.begin(), digests.end()};
    for (const std::string& digest : different) {
        const bool is_known = this->suspects.count(digest) > 0;
        if (!is_known && this->suspects.size() >= max_suspects) {
            const auto oldest =
                std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto& left, const auto& right) {
                    return left.second.expires < right.second.expires;
                });
            this->suspects.erase(oldest);
        }
        record_of_deaths& held = this->suspects[digest];
        ++held.deaths;
        held.expires = expires;
    }
}

std::uint32_t suspect_list::deaths(const std::string& digest) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->suspects.find(digest);
    if (found == this->suspects.end() || found->second.expires <= this->time.now()) {
        return 0;
    }
    return found->second.deaths;
}

bool suspect_list::is_quarantined(const std::string& digest) {
    return this->deaths(digest) >= config::quarantine_deaths;
}

std::size_t suspect_list::size() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    return this->suspects.size();
}

void suspect_list::expire() {
    const steady_time now = this->time.now();
    while (!this->events.empty() && this->events.front().expires <= now) {
        this->event_ids.erase(this->events.front().id);
        this->events.pop_front();
    }
    std::erase_if(this->suspects, [now](const auto& entry) { return entry.second.expires <= now; });
}

} // namespace pomelohoist
