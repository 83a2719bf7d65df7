#include "agent/suspect_loader.h"

#include "agent/peer_suspect_publisher.h"
#include "inner/frame_channel.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace pomelohoist {

namespace {

// A suspect report may fail to reach one agent, but is unlikely to miss two agents.
constexpr std::size_t required_responses = 2;
// Queries of unreachable hosts time out one after the other, so this limit bounds the start time of an agent when many
// hosts fail together.
constexpr std::size_t max_queried_peers = 10;
constexpr std::chrono::milliseconds query_timeout{200};

} // namespace

suspect_loader::suspect_loader(const configuration_source& configurations, std::string process_name,
                               std::string endpoint_name, suspect_list& known_suspects)
    : source(configurations), name(std::move(process_name)), own_endpoint(std::move(endpoint_name)),
      suspects(known_suspects) {}

void suspect_loader::load_from_peers() {
    const configuration_ptr declared = this->source.current();
    if (declared->version() == 0) {
        return;
    }
    std::vector<net_address> peers = agents_of_same_service(*declared, this->own_endpoint);
    if (!peers.empty()) {
        // Spreads the load: agents that start at the same time query different peers first.
        const std::size_t first_peer = std::hash<std::string>{}(this->own_endpoint) % peers.size();
        std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(first_peer), peers.end());
    }
    std::size_t complete_responses = 0;
    for (std::size_t i = 0; i < std::min(peers.size(), max_queried_peers) && complete_responses < required_responses;
         ++i) {
        const auto peer_state =
            inner::call_stream<inner::suspect_state>(peers[i], this->name, inner::suspect_query{}, query_timeout);
        if (peer_state) {
            this->suspects.merge(peer_state->suspects);
            complete_responses += peer_state->complete ? 1 : 0;
        }
    }
    this->suspects.mark_complete();
}

} // namespace pomelohoist
