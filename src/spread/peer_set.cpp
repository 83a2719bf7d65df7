#include "spread/peer_set.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelohoist {

namespace {

// One announcement in four leaves the data centre: enough to reach the others in a few rounds, at little cost there.
constexpr std::size_t far_one_in = 4;
constexpr std::size_t max_heard_peers = 4096;
// At 1,760 processes a process hears from a given other one every few minutes.
constexpr std::chrono::minutes heard_lifetime{15};
constexpr std::chrono::seconds rebuild_interval{30};

} // namespace

peer_set::peer_set(const clock& time_source, net_address own_address, std::string own_data_centre)
    : time(time_source), own(std::move(own_address)), centre(std::move(own_data_centre)) {}

void peer_set::add_seeds(const std::vector<peer>& seeds) {
    const std::lock_guard lock{this->mutex};
    for (const peer& seed : seeds) {
        if (seed.inner != this->own) {
            this->peers[seed.inner] = {seed.data_centre, origin::seed, {}};
        }
    }
    this->rebuild();
}

void peer_set::set_declared(const configuration& declared) {
    const std::lock_guard lock{this->mutex};
    std::erase_if(this->peers, [](const auto& entry) { return entry.second.source == origin::declared; });
    for (const endpoint& each : declared.endpoints()) {
        if (each.agent != this->own) {
            // A process that was only heard of so far must not expire any more.
            known_peer& known = this->peers.try_emplace(each.agent, known_peer{"", origin::declared, {}}).first->second;
            known.data_centre = each.data_centre;
            known.source = known.source == origin::heard ? origin::declared : known.source;
        }
    }
    this->rebuild();
}

void peer_set::hear_from(const net_address& address, const std::string& data_centre) {
    if (address == this->own || address.port == 0) {
        return;
    }
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    const auto known = this->peers.find(address);
    if (known != this->peers.end()) {
        known->second.heard_at = now;
    } else if (this->peers.size() < max_heard_peers) {
        this->peers.emplace(address, known_peer{data_centre, origin::heard, now});
        (data_centre == this->centre ? this->near : this->far).push_back(address);
    }
    if (now - this->rebuilt_at > rebuild_interval) {
        this->rebuild();
    }
}

void peer_set::rebuild() {
    const steady_time now = this->time.now();
    this->rebuilt_at = now;
    std::erase_if(this->peers, [now](const auto& entry) {
        return entry.second.source == origin::heard && now - entry.second.heard_at > heard_lifetime;
    });
    this->near.clear();
    this->far.clear();
    for (const auto& [address, known] : this->peers) {
        (known.data_centre == this->centre ? this->near : this->far).push_back(address);
    }
}

std::size_t peer_set::size() const {
    const std::lock_guard lock{this->mutex};
    return this->peers.size();
}

std::vector<net_address> peer_set::all() const {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> addresses = this->near;
    addresses.insert(addresses.end(), this->far.begin(), this->far.end());
    return addresses;
}

std::vector<net_address> peer_set::choose(std::size_t number, random_source& random) {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> chosen;
    for (std::size_t i = 0; i < number; ++i) {
        const bool wants_far = random.next_below(far_one_in) == 0;
        const auto& group = this->near.empty() || (wants_far && !this->far.empty()) ? this->far : this->near;
        if (group.empty()) {
            break;
        }
        const net_address& candidate = group[random.next_below(group.size())];
        if (std::find(chosen.begin(), chosen.end(), candidate) == chosen.end()) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

} // namespace pomelohoist
