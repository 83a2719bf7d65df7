#include "direct/peer_link.h"

#include <map>
#include <utility>

/// What a process knows of the others from their updates.
namespace pomelohoist {

std::vector<net_address> peer_link::closed_engines() const {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> closed;
    for (const auto& [name, peer] : this->peers) {
        if (peer.local_rank && !peer.local_rank->is_open && this->is_live(peer)) {
            closed.push_back(peer.local_rank->engine);
        }
    }
    return closed;
}

std::uint32_t peer_link::rank_among_live() const {
    const std::lock_guard lock{this->mutex};
    std::uint32_t smaller = 0;
    for (const auto& [name, peer] : this->peers) {
        smaller += peer.is_entry && name < this->options.own.name && this->is_live(peer) ? 1U : 0U;
    }
    return smaller;
}

std::vector<group_peer> peer_link::group_peers(const std::string& group) const {
    const std::lock_guard lock{this->mutex};
    std::map<std::uint32_t, std::pair<steady_time, group_peer>> by_rank;
    for (const auto& [name, peer] : this->peers) {
        if (!peer.local_rank || peer.local_rank->group != group || !peer.last_seen_at) {
            continue;
        }
        const group_peer found{name, peer.address, peer.local_rank->rank, peer.local_rank->engine, this->is_live(peer)};
        const auto previous = by_rank.find(found.rank);
        if (previous == by_rank.end() || previous->second.first < *peer.last_seen_at) {
            by_rank[found.rank] = {*peer.last_seen_at, found};
        }
    }
    std::vector<group_peer> members;
    members.reserve(by_rank.size());
    for (const auto& [rank_number, found] : by_rank) {
        members.push_back(found.second);
    }
    return members;
}

} // namespace pomelohoist
