#include "agent/suspect_learner.h"

#include "agent/peer_suspect_publisher.h"
#include "inner/frame_channel.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace pomelohoist {

namespace {

// A report can miss one agent, seldom two.
constexpr std::size_t wanted_answers = 2;
// Dead hosts time out one after the other, so that their number bounds the start of an agent in a dying rack.
constexpr std::size_t max_asked = 10;
constexpr std::chrono::milliseconds ask_timeout{200};

} // namespace

suspect_learner::suspect_learner(const configuration_source& configurations, std::string process_name,
                                 std::string endpoint_name, suspect_list& known_suspects)
    : source(configurations), name(std::move(process_name)), own_endpoint(std::move(endpoint_name)),
      suspects(known_suspects) {}

void suspect_learner::learn() {
    const configuration_ptr declared = this->source.current();
    if (declared->version() == 0) {
        return;
    }
    std::vector<net_address> peers = agents_serving_same(*declared, this->own_endpoint);
    if (!peers.empty()) {
        // Agents that start at the same time ask different peers first.
        const std::size_t first = std::hash<std::string>{}(this->own_endpoint) % peers.size();
        std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(first), peers.end());
    }
    std::size_t complete_answers = 0;
    for (std::size_t i = 0; i < std::min(peers.size(), max_asked) && complete_answers < wanted_answers; ++i) {
        const auto known =
            inner::call_stream<inner::suspect_state>(peers[i], this->name, inner::suspect_query{}, ask_timeout);
        if (known) {
            this->suspects.merge(known->suspects);
            complete_answers += known->complete ? 1 : 0;
        }
    }
    this->suspects.mark_complete();
}

} // namespace pomelohoist
