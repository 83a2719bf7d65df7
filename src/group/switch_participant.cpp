#include "group/switch_participant.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

using inner::switch_decision;
using inner::switch_prepare;
using inner::switch_query;
using inner::switch_state;
using inner::switch_vote;

switch_participant::switch_participant(group_position own_position, const clock& time_source, fencing_gate& fencing,
                                       const map_contents& usable_maps)
    : position(std::move(own_position)), time(time_source), gate(fencing), maps(usable_maps) {}

// Corresponds to start_step with IS_FREE and !recovering in models/map_switch.pml. A granted step counts as started,
// because a response that was sent to the rank cannot be revoked.
std::optional<map_start> switch_participant::grant_step(const step_request& request) {
    const std::lock_guard lock{this->mutex};
    this->record_report(request);
    if (this->recovering || !this->committed_map) {
        return std::nullopt;
    }
    if (request.step + 1 == this->next_to_grant) {
        return this->last_granted_map;
    }
    const bool is_held = this->promise && this->next_to_grant >= this->promise->prepare.next.from_step;
    if (request.step != this->next_to_grant || is_held) {
        return std::nullopt;
    }
    const std::optional<map_start>& map =
        this->next_to_grant >= this->committed_map->from_step ? this->committed_map : this->previous_map;
    if (!map) {
        return std::nullopt;
    }
    this->last_granted_map = map;
    ++this->next_to_grant;
    return map;
}

void switch_participant::report(const step_request& request) {
    const std::lock_guard lock{this->mutex};
    this->record_report(request);
}

// Corresponds to restart in models/map_switch.pml, which sets `outcome` to the map that the rank itself reports. If
// this agent responded to a query before the rank's report, its response could lack a committed map that the rank
// already runs.
void switch_participant::record_report(const step_request& request) {
    if (this->has_rank_reported) {
        return;
    }
    this->has_rank_reported = true;
    this->next_to_grant = request.step;
    this->committed_map = request.running;
    this->last_granted_map = request.running;
}

switch_vote switch_participant::handle_prepare(const switch_prepare& prepare) {
    const std::lock_guard lock{this->mutex};
    return this->vote_on(prepare);
}

// Corresponds to the two prepare events in models/map_switch.pml: the agent promises or refuses the switch.
switch_vote switch_participant::vote_on(const switch_prepare& prepare) {
    switch_vote vote;
    vote.rank = this->position.rank;
    vote.ballot = prepare.ballot;
    // The fencing gate checks every prepare message, including those that a recovering agent ignores.
    const bool is_admitted = this->gate.admit(prepare.ballot.epoch);
    const bool is_retransmission = this->promise && this->promise->prepare == prepare && this->ballot == prepare.ballot;
    vote.ignored = this->recovering || prepare.group != this->position.group;
    if (!vote.ignored && !is_retransmission) {
        vote.reason = is_admitted ? this->refusal_reason(prepare) : "an order of a higher epoch was seen";
        if (vote.reason.empty()) {
            this->ballot = prepare.ballot;
            this->promise = open_promise{prepare, this->time.now()};
        } else {
            // A refusal is final for this switch: the coordinator may already have counted it when a retransmitted
            // prepare message arrives.
            this->highest_refused = std::max(this->highest_refused, prepare.ballot);
        }
    }
    vote.promised = !vote.ignored && (is_retransmission || vote.reason.empty());
    vote.highest = std::max(this->ballot, this->highest_peer_ballot);
    vote.next_step = this->next_to_grant;
    return vote;
}

// The model in models/map_switch.pml has a single switch. These conditions allow only one switch at a time, so that
// every switch of a sequence is independent of the previous one: an agent promises a switch only when it has the
// decision of the previous switch (no open promise, same base) and its rank runs the resulting map, so that the rank
// itself can report that map after a restart of the agent.
std::string switch_participant::refusal_reason(const switch_prepare& prepare) const {
    if (this->ballot >= prepare.ballot || this->highest_refused >= prepare.ballot) {
        return "a higher ballot was seen";
    }
    if (this->promise) {
        return "another switch is undecided";
    }
    if (!this->committed_map || this->committed_map->map != prepare.base ||
        prepare.next.map.version <= prepare.base.version) {
        return "another map is in force";
    }
    if (this->next_to_grant > prepare.next.from_step) {
        return "the rank has started the step";
    }
    if (this->next_to_grant <= this->committed_map->from_step) {
        return "the rank has not started a step on the map in force";
    }
    if (!this->maps.is_usable(prepare.next.map)) {
        return "the rank lacks the weights";
    }
    return "";
}

// Corresponds to IS_ANSWERING in models/map_switch.pml: a recovering agent responds only after it has read the ballots
// of all other ranks. A restarted agent also needs the report of its rank, which is part of the agent's state.
bool switch_participant::can_respond() const {
    return !this->recovering || (this->ballots_read && this->has_rank_reported);
}

switch_state switch_participant::make_response(const switch_ballot& query_ballot) const {
    return {this->position.rank, true, query_ballot, query_ballot, this->committed_map};
}

// Corresponds to the first event of QUERY_EVENTS in models/map_switch.pml (response to a query) and, for `is_read`, to
// the rank that is read in READ_EVENTS.
switch_state switch_participant::handle_query(const switch_query& query) {
    const std::lock_guard lock{this->mutex};
    const bool is_own_group = query.group == this->position.group;
    if (is_own_group && !query.is_read && this->can_respond()) {
        if (this->ballot < query.ballot) {
            this->ballot = query.ballot;
            this->last_response = this->make_response(query.ballot);
        }
        // A retransmitted query gets the same response. An agent that only read this ballot has not responded to it.
        if (this->ballot == query.ballot && this->last_response && this->last_response->ballot == query.ballot) {
            return *this->last_response;
        }
    }
    return {this->position.rank, false, query.ballot, this->ballot, std::nullopt};
}

// Corresponds to DECISION_EVENTS in models/map_switch.pml: an agent applies a decision that it accepts.
switch_state switch_participant::handle_decision(const switch_decision& decision) {
    const std::lock_guard lock{this->mutex};
    if (decision.group == this->position.group && this->accepts(decision)) {
        this->ballot = decision.ballot;
        this->apply(decision.in_force);
    }
    return {this->position.rank, false, decision.ballot, this->ballot, this->committed_map};
}

bool switch_participant::accepts(const switch_decision& decision) const {
    if (decision.from_coordinator && !this->gate.admit(decision.ballot.epoch)) {
        return false;
    }
    const bool has_responded = this->last_response && this->last_response->ballot == decision.ballot;
    if (this->recovering) {
        return !decision.from_coordinator && this->ballots_read && this->ballot == decision.ballot && has_responded;
    }
    // Corresponds to IS_CURRENT in models/map_switch.pml: a decision with a lower ballot is outdated.
    if (decision.ballot < this->ballot) {
        return false;
    }
    // A coordinator decides only its own switch; a recovery decides all switches with a lower ballot.
    return !decision.from_coordinator || !this->promise || this->promise->prepare.ballot == decision.ballot;
}

void switch_participant::apply(const map_start& decided_map) {
    if (!this->committed_map || decided_map.map.version > this->committed_map->map.version) {
        this->previous_map = this->committed_map;
        this->committed_map = decided_map;
    }
    this->promise.reset();
    this->recovering = false;
}

switch_ballot switch_participant::next_ballot(std::uint64_t epoch) const {
    const switch_ballot highest = std::max({this->ballot, this->highest_refused, this->highest_peer_ballot});
    const std::uint64_t ballot_epoch = std::max(epoch, highest.epoch);
    return {ballot_epoch, highest.epoch == ballot_epoch ? highest.round + 1 : 1, this->position.rank,
            this->position.incarnation};
}

result<switch_prepare> switch_participant::open_switch(std::uint64_t epoch, const map_start& next_map) {
    const std::lock_guard lock{this->mutex};
    const switch_ballot proposed = this->next_ballot(epoch);
    if (proposed.epoch != epoch) {
        return failure{error_kind::stale_epoch, "a ballot of a higher epoch was seen"};
    }
    if (this->recovering || !this->committed_map) {
        return failure{error_kind::not_ready, "the agent recovers"};
    }
    const switch_prepare prepare{this->position.group, proposed, this->committed_map->map, next_map};
    // The coordinator's own rank votes by the same rules as the other ranks.
    const switch_vote own_vote = this->vote_on(prepare);
    if (!own_vote.promised) {
        return failure{error_kind::conflict, own_vote.reason};
    }
    return prepare;
}

// Corresponds to proctype coordinator with IS_COORDINATING in models/map_switch.pml. A restarted agent has no promise,
// so it cannot conclude a switch of its earlier incarnation.
std::optional<switch_decision> switch_participant::close_switch(const switch_ballot& own_ballot, bool all_promised) {
    const std::lock_guard lock{this->mutex};
    if (this->recovering || !this->promise || this->promise->prepare.ballot != own_ballot ||
        this->ballot != own_ballot) {
        return std::nullopt;
    }
    this->apply(all_promised ? this->promise->prepare.next : *this->committed_map);
    return switch_decision{this->position.group, own_ballot, true, *this->committed_map};
}

// Corresponds to READ_EVENTS and to the event that sets ballots_read in models/map_switch.pml.
void switch_participant::set_ballots(const std::vector<switch_ballot>& peer_ballots) {
    const std::lock_guard lock{this->mutex};
    if (!this->recovering || this->ballots_read || peer_ballots.size() + 1 != this->position.ranks) {
        return;
    }
    for (const switch_ballot& peer_ballot : peer_ballots) {
        this->ballot = std::max(this->ballot, peer_ballot);
    }
    this->ballots_read = true;
}

// Corresponds to the second event of QUERY_EVENTS in models/map_switch.pml: a recovery sends its query.
std::optional<switch_query> switch_participant::open_recovery() {
    const std::lock_guard lock{this->mutex};
    if (!this->can_respond() || (!this->recovering && !this->promise)) {
        return std::nullopt;
    }
    this->ballot = this->next_ballot(this->gate.highest());
    this->last_response = this->make_response(this->ballot);
    return switch_query{this->position.group, this->ballot, false};
}

// Corresponds to the third event of QUERY_EVENTS in models/map_switch.pml: a recovery decides. ONE_COMMITTED is
// represented by the highest version among the committed maps of the ranks, because only a commit raises the version.
std::optional<switch_decision> switch_participant::close_recovery(const switch_ballot& own_ballot,
                                                                  const std::vector<switch_state>& states,
                                                                  const std::optional<map_start>& cold_start) {
    const std::lock_guard lock{this->mutex};
    const bool is_own = this->last_response && this->last_response->ballot == own_ballot && this->ballot == own_ballot;
    if (!this->can_respond() || !is_own || (!this->recovering && !this->promise)) {
        return std::nullopt;
    }
    std::vector<bool> responded(this->position.ranks, false);
    responded.at(this->position.rank) = true;
    std::optional<map_start> decided_map = this->last_response->committed_map;
    for (const switch_state& state : states) {
        if (!state.has_responded || state.ballot != own_ballot || state.rank >= this->position.ranks) {
            return std::nullopt;
        }
        responded[state.rank] = true;
        if (state.committed_map && (!decided_map || state.committed_map->map.version > decided_map->map.version)) {
            decided_map = state.committed_map;
        }
    }
    // Not part of models/map_switch.pml: when no rank has run a step, only the store has a map.
    decided_map = decided_map ? decided_map : cold_start;
    if (!decided_map || std::find(responded.begin(), responded.end(), false) != responded.end()) {
        return std::nullopt;
    }
    this->apply(*decided_map);
    return switch_decision{this->position.group, own_ballot, false, *decided_map};
}

void switch_participant::observe_ballot(const switch_ballot& peer_ballot) {
    const std::lock_guard lock{this->mutex};
    this->highest_peer_ballot = std::max(this->highest_peer_ballot, peer_ballot);
}

bool switch_participant::needs_recovery(std::chrono::milliseconds limit) const {
    const std::lock_guard lock{this->mutex};
    if (this->recovering) {
        return this->can_respond();
    }
    return this->promise && this->time.now() - this->promise->since >= limit;
}

bool switch_participant::needs_ballots() const {
    const std::lock_guard lock{this->mutex};
    return this->recovering && this->has_rank_reported && !this->ballots_read;
}

bool switch_participant::is_recovering() const {
    const std::lock_guard lock{this->mutex};
    return this->recovering;
}

bool switch_participant::has_open_promise() const {
    const std::lock_guard lock{this->mutex};
    return this->promise.has_value();
}

std::optional<map_start> switch_participant::in_force() const {
    const std::lock_guard lock{this->mutex};
    return this->recovering ? std::nullopt : this->committed_map;
}

std::uint64_t switch_participant::next_step() const {
    const std::lock_guard lock{this->mutex};
    return this->next_to_grant;
}

} // namespace pomelohoist
