#include "placement/load_tracker.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

endpoint_digest digest_of_instance(std::string_view instance) {
    return static_cast<endpoint_digest>(hash64(instance));
}

void load_tracker::set_peer_load(const std::string& peer, const std::vector<endpoint_load>& loads) {
    const std::lock_guard lock{this->mutex};
    peer_load& known = this->peers[peer];
    this->subtract(known.loads);
    known = {this->time.now(), loads};
    for (const endpoint_load& load : loads) {
        this->peer_sums[load.endpoint] += load.active;
    }
    this->next_expiry = std::min(this->next_expiry, known.last_seen_at + config::peer_load_lifetime);
}

void load_tracker::subtract(const std::vector<endpoint_load>& loads) const {
    for (const endpoint_load& load : loads) {
        const auto sum = this->peer_sums.find(load.endpoint);
        if (sum == this->peer_sums.end()) {
            continue;
        }
        sum->second -= load.active;
        if (sum->second == 0) {
            this->peer_sums.erase(sum);
        }
    }
}

void load_tracker::remove_expired() const {
    const steady_time now = this->time.now();
    if (now <= this->next_expiry) {
        return;
    }
    this->next_expiry = steady_time::max();
    std::erase_if(this->peers, [this, now](const auto& each) {
        const steady_time expiry = each.second.last_seen_at + config::peer_load_lifetime;
        if (now > expiry) {
            this->subtract(each.second.loads);
            return true;
        }
        this->next_expiry = std::min(this->next_expiry, expiry);
        return false;
    });
}

std::vector<endpoint_load> load_tracker::own_loads() const {
    const std::lock_guard lock{this->mutex};
    std::vector<endpoint_load> loads;
    loads.reserve(this->own.size());
    for (const auto& [endpoint, active] : this->own) {
        loads.push_back({endpoint, active});
    }
    return loads;
}

std::uint32_t load_tracker::total(endpoint_digest endpoint) const {
    const std::lock_guard lock{this->mutex};
    this->remove_expired();
    const auto found = this->own.find(endpoint);
    const auto sum = this->peer_sums.find(endpoint);
    return (found != this->own.end() ? found->second : 0U) + (sum != this->peer_sums.end() ? sum->second : 0U);
}

std::uint32_t load_tracker::entries() const {
    const std::lock_guard lock{this->mutex};
    this->remove_expired();
    return 1 + static_cast<std::uint32_t>(this->peers.size());
}

void load_tracker::begin(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    ++this->own[endpoint];
}

void load_tracker::end(endpoint_digest endpoint) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->own.find(endpoint);
    if (found != this->own.end() && --found->second == 0) {
        this->own.erase(found);
    }
}

} // namespace pomelohoist
