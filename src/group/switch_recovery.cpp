#include "group/switch_recovery.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

using inner::switch_state;

switch_recovery::switch_recovery(group_place own_place, switch_participant& own_participant, group_network& group_calls,
                                 cold_start_source stored_map)
    : place(std::move(own_place)), participant(own_participant), network(group_calls),
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
    const inner::switch_query read{this->place.group, {}, true};
    std::vector<bool> answered(this->place.ranks, false);
    std::vector<switch_ballot> ballots;
    for (const switch_state& state : ask_others<switch_state>(this->network, read, config::switch_call_timeout)) {
        if (state.rank < this->place.ranks && state.rank != this->place.rank && !answered[state.rank]) {
            answered[state.rank] = true;
            ballots.push_back(state.highest);
        }
    }
    if (ballots.size() + 1 != this->place.ranks) {
        return false;
    }
    this->participant.take_ballots(ballots);
    return true;
}

bool switch_recovery::recover() {
    const auto query = this->participant.open_recovery();
    if (!query) {
        return true;
    }
    const std::vector<switch_state> answers =
        ask_others<switch_state>(this->network, *query, config::switch_call_timeout);
    bool is_known = this->participant.in_force().has_value();
    for (const switch_state& answer : answers) {
        this->participant.observe_ballot(answer.highest);
        is_known = is_known || answer.known.has_value();
    }
    // The store is asked only when nobody knows a map; neither store nor coordinator is needed to finish a switch.
    const std::optional<map_start> stored =
        is_known || answers.size() + 1 != this->place.ranks ? std::nullopt : this->cold_start();
    const auto decision = this->participant.close_recovery(query->ballot, answers, stored);
    if (!decision) {
        return false;
    }
    for (const switch_state& state : ask_others<switch_state>(this->network, *decision, config::switch_call_timeout)) {
        this->participant.observe_ballot(state.highest);
    }
    return true;
}

} // namespace pomelohoist
