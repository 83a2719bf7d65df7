#include "spread/peer_set.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelohoist {

namespace {

// One announcement in four goes to another data centre: enough to reach all of them in a few rounds, at low cost.
constexpr std::size_t announcements_per_far_target = 4;
constexpr std::size_t max_announced_peers = 4096;
// With 1,760 processes, a process receives an announcement from any particular peer every few minutes. A running peer
// must not expire between two of them.
constexpr std::chrono::minutes announced_lifetime{15};
constexpr std::chrono::seconds rebuild_interval{30};
constexpr std::chrono::seconds responsive_lifetime{60};
// Only running processes poll the store, so the share of known peers that respond sets the poll interval. A process
// starts with the lowest share: a short initial interval costs the store little, a long one would delay changes.
constexpr double min_responding_share = 0.125;
constexpr double sample_weight = 0.05;

} // namespace

peer_set::peer_set(const clock& time_source, net_address own_address, std::string own_data_centre)
    : time(time_source), own(std::move(own_address)), centre(std::move(own_data_centre)),
      responding_share(min_responding_share) {}

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
    const auto before = this->peers;
    std::erase_if(this->peers, [](const auto& entry) { return entry.second.source == origin::declared; });
    for (const endpoint& each : declared.endpoints()) {
        if (each.agent != this->own) {
            // A process that was known only from announcements must no longer expire.
            known_peer& record =
                this->peers.try_emplace(each.agent, known_peer{"", origin::declared, {}}).first->second;
            record.data_centre = each.data_centre;
            record.source = record.source == origin::announced ? origin::declared : record.source;
            const auto previous_record = before.find(each.agent);
            record.last_seen_at =
                previous_record == before.end() ? record.last_seen_at : previous_record->second.last_seen_at;
        }
    }
    this->rebuild();
}

void peer_set::record_seen(const net_address& address, const std::string& data_centre) {
    if (address == this->own || address.port == 0) {
        return;
    }
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    const auto record = this->peers.find(address);
    if (record != this->peers.end()) {
        this->mark_seen(address, record->second);
    } else if (this->peers.size() < max_announced_peers) {
        known_peer& added = this->peers.emplace(address, known_peer{data_centre, origin::announced, {}}).first->second;
        (data_centre == this->centre ? this->near : this->far).push_back(address);
        this->mark_seen(address, added);
    }
    if (now - this->rebuilt_at > rebuild_interval) {
        this->rebuild();
    }
}

void peer_set::record_response(const net_address& address) {
    const std::lock_guard lock{this->mutex};
    const auto record = this->peers.find(address);
    if (record != this->peers.end()) {
        this->mark_seen(address, record->second);
    }
}

void peer_set::mark_seen(const net_address& address, known_peer& record) {
    const steady_time now = this->time.now();
    if (!this->is_responsive(record, now)) {
        (record.data_centre == this->centre ? this->responsive_near : this->responsive_far).push_back(address);
    }
    record.last_seen_at = now;
}

bool peer_set::is_responsive(const known_peer& record, steady_time now) const {
    return record.last_seen_at != steady_time{} && now - record.last_seen_at < responsive_lifetime;
}

void peer_set::rebuild() {
    const steady_time now = this->time.now();
    this->rebuilt_at = now;
    std::erase_if(this->peers, [now](const auto& entry) {
        return entry.second.source == origin::announced && now - entry.second.last_seen_at > announced_lifetime;
    });
    this->near.clear();
    this->far.clear();
    this->responsive_near.clear();
    this->responsive_far.clear();
    for (const auto& [address, record] : this->peers) {
        const bool is_near = record.data_centre == this->centre;
        (is_near ? this->near : this->far).push_back(address);
        if (this->is_responsive(record, now)) {
            (is_near ? this->responsive_near : this->responsive_far).push_back(address);
        }
    }
}

std::size_t peer_set::size() const {
    const std::lock_guard lock{this->mutex};
    return this->peers.size();
}

std::size_t peer_set::responsive_count() const {
    const std::lock_guard lock{this->mutex};
    return this->responsive_near.size() + this->responsive_far.size();
}

void peer_set::record_sample(bool has_responded) {
    const std::lock_guard lock{this->mutex};
    const double sample = has_responded ? 1.0 : 0.0;
    this->responding_share += sample_weight * (sample - this->responding_share);
    this->responding_share = std::max(this->responding_share, min_responding_share);
}

std::size_t peer_set::estimate_running() const {
    const std::lock_guard lock{this->mutex};
    const double share = this->responding_share * static_cast<double>(this->peers.size());
    const std::size_t responsive_peers = this->responsive_near.size() + this->responsive_far.size();
    return std::max(responsive_peers, static_cast<std::size_t>(share));
}

std::vector<net_address> peer_set::all() const {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> addresses = this->near;
    addresses.insert(addresses.end(), this->far.begin(), this->far.end());
    return addresses;
}

std::vector<net_address> peer_set::choose(std::size_t number, random_source& random) {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> selected;
    for (std::size_t i = 0; i < number; ++i) {
        // Many declared processes may be down or not installed yet. One announcement of each round goes to a process
        // that announced itself or responded lately; the other announcements also reach processes that have restarted.
        const bool use_responsive = i == 0 && !(this->responsive_near.empty() && this->responsive_far.empty());
        const auto& near_candidates = use_responsive ? this->responsive_near : this->near;
        const auto& far_candidates = use_responsive ? this->responsive_far : this->far;
        const bool use_far = random.next_below(announcements_per_far_target) == 0;
        const auto& group =
            near_candidates.empty() || (use_far && !far_candidates.empty()) ? far_candidates : near_candidates;
        if (group.empty()) {
            break;
        }
        const net_address& candidate = group[random.next_below(group.size())];
        if (std::find(selected.begin(), selected.end(), candidate) == selected.end()) {
            selected.push_back(candidate);
        }
    }
    return selected;
}

} // namespace pomelohoist
