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
constexpr std::chrono::seconds responsive_lifetime{60};
// Only running processes poll the store, so the share of known ones that answer sets the interval of polls. A process
// starts with the lowest share: a short interval at first costs the store little, a long one would delay changes.
constexpr double min_answering_share = 0.125;
constexpr double sample_weight = 0.05;

} // namespace

peer_set::peer_set(const clock& time_source, net_address own_address, std::string own_data_centre)
    : time(time_source), own(std::move(own_address)), centre(std::move(own_data_centre)),
      answering_share(min_answering_share) {}

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
            // A process that was only heard of so far must not expire any more.
            known_peer& known = this->peers.try_emplace(each.agent, known_peer{"", origin::declared, {}}).first->second;
            known.data_centre = each.data_centre;
            known.source = known.source == origin::heard ? origin::declared : known.source;
            const auto earlier = before.find(each.agent);
            known.heard_at = earlier == before.end() ? known.heard_at : earlier->second.heard_at;
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
        this->note_heard(address, known->second);
    } else if (this->peers.size() < max_heard_peers) {
        known_peer& added = this->peers.emplace(address, known_peer{data_centre, origin::heard, {}}).first->second;
        (data_centre == this->centre ? this->near : this->far).push_back(address);
        this->note_heard(address, added);
    }
    if (now - this->rebuilt_at > rebuild_interval) {
        this->rebuild();
    }
}

void peer_set::note_answer(const net_address& address) {
    const std::lock_guard lock{this->mutex};
    const auto known = this->peers.find(address);
    if (known != this->peers.end()) {
        this->note_heard(address, known->second);
    }
}

void peer_set::note_heard(const net_address& address, known_peer& known) {
    const steady_time now = this->time.now();
    if (!this->is_responsive(known, now)) {
        (known.data_centre == this->centre ? this->responsive_near : this->responsive_far).push_back(address);
    }
    known.heard_at = now;
}

bool peer_set::is_responsive(const known_peer& known, steady_time now) const {
    return known.heard_at != steady_time{} && now - known.heard_at < responsive_lifetime;
}

void peer_set::rebuild() {
    const steady_time now = this->time.now();
    this->rebuilt_at = now;
    std::erase_if(this->peers, [now](const auto& entry) {
        return entry.second.source == origin::heard && now - entry.second.heard_at > heard_lifetime;
    });
    this->near.clear();
    this->far.clear();
    this->responsive_near.clear();
    this->responsive_far.clear();
    for (const auto& [address, known] : this->peers) {
        const bool is_near = known.data_centre == this->centre;
        (is_near ? this->near : this->far).push_back(address);
        if (this->is_responsive(known, now)) {
            (is_near ? this->responsive_near : this->responsive_far).push_back(address);
        }
    }
}

std::size_t peer_set::size() const {
    const std::lock_guard lock{this->mutex};
    return this->peers.size();
}

std::size_t peer_set::responsive() const {
    const std::lock_guard lock{this->mutex};
    return this->responsive_near.size() + this->responsive_far.size();
}

void peer_set::note_sample(bool has_answered) {
    const std::lock_guard lock{this->mutex};
    const double sample = has_answered ? 1.0 : 0.0;
    this->answering_share += sample_weight * (sample - this->answering_share);
    this->answering_share = std::max(this->answering_share, min_answering_share);
}

std::size_t peer_set::estimate_running() const {
    const std::lock_guard lock{this->mutex};
    const double share = this->answering_share * static_cast<double>(this->peers.size());
    const std::size_t heard = this->responsive_near.size() + this->responsive_far.size();
    return std::max(heard, static_cast<std::size_t>(share));
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
        // Many declared processes may be down or not installed yet. One announcement of each round goes to a process
        // that is known to answer, the others also find those that have come back.
        const bool wants_responsive = i == 0 && !(this->responsive_near.empty() && this->responsive_far.empty());
        const auto& close_by = wants_responsive ? this->responsive_near : this->near;
        const auto& remote = wants_responsive ? this->responsive_far : this->far;
        const bool wants_far = random.next_below(far_one_in) == 0;
        const auto& group = close_by.empty() || (wants_far && !remote.empty()) ? remote : close_by;
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
