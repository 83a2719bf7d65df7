#include "group/switch_coordinator.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

using inner::switch_vote;

// Corresponds to IS_PROMISED in models/map_switch.pml: all ranks have promised the switch.
bool is_promised_by_all(const std::vector<switch_vote>& votes, const switch_ballot& ballot,
                        const group_position& position) {
    std::vector<bool> promised(position.ranks, false);
    promised.at(position.rank) = true;
    std::uint32_t promises = 1;
    for (const switch_vote& vote : votes) {
        if (vote.promised && vote.ballot == ballot && vote.rank < position.ranks && !promised[vote.rank]) {
            promised[vote.rank] = true;
            ++promises;
        }
    }
    return promises == position.ranks;
}

switch_coordinator::switch_coordinator(group_position own_position, switch_participant& own_participant,
                                       group_network& group_calls)
    : position(std::move(own_position)), participant(own_participant), network(group_calls) {}

result<done> switch_coordinator::run(std::uint64_t epoch, const map_start& next) {
    const result<inner::switch_prepare> prepare = this->participant.open_switch(epoch, next);
    if (!prepare) {
        return prepare.last_error();
    }
    const std::vector<switch_vote> votes =
        query_others<switch_vote>(this->network, *prepare, config::switch_prepare_timeout);
    std::string reason = votes.size() + 1 < this->position.ranks ? "not all ranks answered" : "";
    for (const switch_vote& vote : votes) {
        this->participant.observe_ballot(vote.highest);
        if (!vote.promised) {
            reason = "rank " + std::to_string(vote.rank) + ": " + (vote.ignored ? "it recovers" : vote.reason);
        }
    }
    // A rank that did not respond may have promised or may have failed; an abort does not need its vote.
    const bool all_promised = is_promised_by_all(votes, prepare->ballot, this->position);
    const auto decision = this->participant.close_switch(prepare->ballot, all_promised);
    if (!decision) {
        return failure{error_kind::conflict, "a recovery has taken the switch over"};
    }
    // A rank that misses the decision obtains it through a recovery.
    for (const auto& state : query_others<inner::switch_state>(this->network, *decision, config::switch_call_timeout)) {
        this->participant.observe_ballot(state.highest);
    }
    if (!all_promised) {
        return failure{error_kind::conflict, reason};
    }
    return done{};
}

} // namespace pomelohoist
