#include "direct/load_tracker.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

endpoint_digest digest_of_instance(std::string_view instance) {
    return static_cast<endpoint_digest>(hash64(instance));
}

void load_tracker::set_peer_load(const std::string& peer, const std::vector<endpoint_load>& loads) {
    const std::lock_guard lock{this->mutex};
    this->peers[peer] = {this->time.now(), loads};
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
    const auto found = this->own.find(endpoint);
    std::uint32_t sum = found != this->own.end() ? found->second : 0;
    const steady_time oldest = this->time.now() - config::peer_load_lifetime;
    for (const auto& [name, peer] : this->peers) {
        // The load of an entry that has stopped or become unreachable expires, so that it does not use up capacity.
        if (peer.last_seen_at < oldest) {
            continue;
        }
        for (const endpoint_load& load : peer.loads) {
            sum += load.endpoint == endpoint ? load.active : 0U;
        }
    }
    return sum;
}

std::uint32_t load_tracker::entries() const {
    const std::lock_guard lock{this->mutex};
    const steady_time oldest = this->time.now() - config::peer_load_lifetime;
    std::uint32_t number = 1;
    for (const auto& [name, peer] : this->peers) {
        number += peer.last_seen_at >= oldest ? 1U : 0U;
    }
    return number;
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
