#include "group/switch_recovery.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

using inner::switch_state;

switch_recovery::switch_recovery(group_position own_position, switch_participant& own_participant,
                                 group_network& group_calls, cold_start_source stored_map)
    : position(std::move(own_position)), participant(own_participant), network(group_calls),
      cold_start(std::move(stored_map)) {}

bool switch_recovery::run() {
    if (this->participant.needs_ballots() && !this->read_ballots()) {
        return true;
    }
    if (!this->participant.needs_recovery(config::open_promise_limit)) {
        return false;
    }
    return !this->recover();
}

bool switch_recovery::read_ballots() {
    const inner::switch_query read{this->position.group, {}, true};
    std::vector<bool> responded(this->position.ranks, false);
    std::vector<switch_ballot> ballots;
    for (const switch_state& state : query_others<switch_state>(this->network, read, config::switch_call_timeout)) {
        if (state.rank < this->position.ranks && state.rank != this->position.rank && !responded[state.rank]) {
            responded[state.rank] = true;
            ballots.push_back(state.highest);
        }
    }
    if (ballots.size() + 1 != this->position.ranks) {
        return false;
    }
    this->participant.set_ballots(ballots);
    return true;
}

bool switch_recovery::recover() {
    const auto query = this->participant.open_recovery();
    if (!query) {
        return true;
    }
    const std::vector<switch_state> states =
        query_others<switch_state>(this->network, *query, config::switch_call_timeout);
    bool is_map_known = this->participant.in_force().has_value();
    for (const switch_state& state : states) {
        this->participant.observe_ballot(state.highest);
        is_map_known = is_map_known || state.committed_map.has_value();
    }
    // Reads the store only when no rank has a committed map: concluding a switch must depend on neither the store nor
    // the coordinator.
    const std::optional<map_start> stored =
        is_map_known || states.size() + 1 != this->position.ranks ? std::nullopt : this->cold_start();
    const auto decision = this->participant.close_recovery(query->ballot, states, stored);
    if (!decision) {
        return false;
    }
    for (const switch_state& state :
         query_others<switch_state>(this->network, *decision, config::switch_call_timeout)) {
        this->participant.observe_ballot(state.highest);
    }
    return true;
}

} // namespace pomelohoist
