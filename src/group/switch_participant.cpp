#include "group/switch_participant.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

using inner::switch_decision;
using inner::switch_prepare;
using inner::switch_query;
using inner::switch_state;
using inner::switch_vote;

switch_participant::switch_participant(group_place own_place, const clock& time_source, fencing_gate& order_gate,
                                       const map_contents& usable_maps)
    : place(std::move(own_place)), time(time_source), gate(order_gate), maps(usable_maps) {}

// Model: start_step with IS_FREE, and !recovering. The grant and not the start counts, because an answer on its way to
// the rank cannot be taken back.
std::optional<map_start> switch_participant::grant_step(const step_request& request) {
    const std::lock_guard lock{this->mutex};
    this->take_report(request);
    if (this->recovering || !this->known) {
        return std::nullopt;
    }
    if (request.step + 1 == this->next) {
        return this->last_grant;
    }
    const bool is_held = this->promise && this->next >= this->promise->order.next.from_step;
    if (request.step != this->next || is_held) {
        return std::nullopt;
    }
    const std::optional<map_start>& used = this->next >= this->known->from_step ? this->known : this->previous;
    if (!used) {
        return std::nullopt;
    }
    this->last_grant = used;
    ++this->next;
    return used;
}

void switch_participant::report(const step_request& request) {
    const std::lock_guard lock{this->mutex};
    this->take_report(request);
}

// Model: restart, where `outcome` becomes what the rank itself reports it runs. Until the rank has reported, an answer
// of this agent could deny a map that the rank uses.
void switch_participant::take_report(const step_request& request) {
    if (this->is_reported) {
        return;
    }
    this->is_reported = true;
    this->next = request.step;
    this->known = request.running;
    this->last_grant = request.running;
}

switch_vote switch_participant::handle_prepare(const switch_prepare& prepare) {
    const std::lock_guard lock{this->mutex};
    return this->vote_on(prepare);
}

// Model: the two prepare events.
switch_vote switch_participant::vote_on(const switch_prepare& prepare) {
    switch_vote vote;
    vote.rank = this->place.rank;
    vote.ballot = prepare.ballot;
    // The fencing gate sees every order, also one that a recovering agent ignores.
    const bool is_admitted = this->gate.admit(prepare.ballot.epoch);
    const bool is_repeated = this->promise && this->promise->order == prepare && this->ballot == prepare.ballot;
    vote.ignored = this->recovering || prepare.group != this->place.group;
    if (!vote.ignored && !is_repeated) {
        vote.reason = is_admitted ? this->refusal_of(prepare) : "an order of a higher epoch was seen";
        if (vote.reason.empty()) {
            this->ballot = prepare.ballot;
            this->promise = open_promise{prepare, this->time.now()};
        } else {
            // A refusal is final for this switch: the coordinator may have counted it when the order comes again.
            this->refused = std::max(this->refused, prepare.ballot);
        }
    }
    vote.promised = !vote.ignored && (is_repeated || vote.reason.empty());
    vote.highest = std::max(this->ballot, this->seen_outside);
    vote.next_step = this->next;
    return vote;
}

// One switch at a time: the model has a single switch, and these conditions make each switch of a sequence one of its
// own. A switch is promised only when the one before is decided here (no open promise, same base) and in use here (so
// that the rank itself can report it after a restart of the agent).
std::string switch_participant::refusal_of(const switch_prepare& prepare) const {
    if (this->ballot >= prepare.ballot || this->refused >= prepare.ballot) {
        return "a higher ballot was seen";
    }
    if (this->promise) {
        return "another switch is undecided";
    }
    if (!this->known || this->known->map != prepare.base || prepare.next.map.version <= prepare.base.version) {
        return "another map is in force";
    }
    if (this->next > prepare.next.from_step) {
        return "the rank has started the step";
    }
    if (this->next <= this->known->from_step) {
        return "the rank has not started a step on the map in force";
    }
    if (!this->maps.is_usable(prepare.next.map)) {
        return "the rank lacks the weights";
    }
    return "";
}

// Model: IS_ANSWERING. The report is part of what a restarted agent knows.
bool switch_participant::is_answering() const {
    return !this->recovering || (this->ballots_read && this->is_reported);
}

switch_state switch_participant::make_answer(const switch_ballot& asked) const {
    return {this->place.rank, true, asked, asked, this->known};
}

// Model: QUERY_EVENTS, first event, and the reading side of READ_EVENTS.
switch_state switch_participant::handle_query(const switch_query& query) {
    const std::lock_guard lock{this->mutex};
    const bool is_own_group = query.group == this->place.group;
    if (is_own_group && !query.is_read && this->is_answering()) {
        if (this->ballot < query.ballot) {
            this->ballot = query.ballot;
            this->last_answer = this->make_answer(query.ballot);
        }
        // A repeated question gets the same answer; an agent that only read this ballot has given none.
        if (this->ballot == query.ballot && this->last_answer && this->last_answer->ballot == query.ballot) {
            return *this->last_answer;
        }
    }
    return {this->place.rank, false, query.ballot, this->ballot, std::nullopt};
}

// Model: DECISION_EVENTS.
switch_state switch_participant::handle_decision(const switch_decision& decision) {
    const std::lock_guard lock{this->mutex};
    if (decision.group == this->place.group && this->accepts(decision)) {
        this->ballot = decision.ballot;
        this->apply(decision.in_force);
    }
    return {this->place.rank, false, decision.ballot, this->ballot, this->known};
}

bool switch_participant::accepts(const switch_decision& decision) const {
    if (decision.from_coordinator && !this->gate.admit(decision.ballot.epoch)) {
        return false;
    }
    const bool is_answered = this->last_answer && this->last_answer->ballot == decision.ballot;
    if (this->recovering) {
        return !decision.from_coordinator && this->ballots_read && this->ballot == decision.ballot && is_answered;
    }
    // Model: IS_CURRENT.
    if (decision.ballot < this->ballot) {
        return false;
    }
    // The coordinator decides its own switch only; a recovery decides all switches below its ballot.
    return !decision.from_coordinator || !this->promise || this->promise->order.ballot == decision.ballot;
}

void switch_participant::apply(const map_start& decided) {
    if (!this->known || decided.map.version > this->known->map.version) {
        this->previous = this->known;
        this->known = decided;
    }
    this->promise.reset();
    this->recovering = false;
}

switch_ballot switch_participant::next_ballot(std::uint64_t epoch) const {
    const switch_ballot top = std::max({this->ballot, this->refused, this->seen_outside});
    const std::uint64_t used = std::max(epoch, top.epoch);
    return {used, top.epoch == used ? top.round + 1 : 1, this->place.rank, this->place.incarnation};
}

result<switch_prepare> switch_participant::open_switch(std::uint64_t epoch, const map_start& wanted) {
    const std::lock_guard lock{this->mutex};
    const switch_ballot proposed = this->next_ballot(epoch);
    if (proposed.epoch != epoch) {
        return failure{error_kind::stale_epoch, "a ballot of a higher epoch was seen"};
    }
    if (this->recovering || !this->known) {
        return failure{error_kind::not_ready, "the agent recovers"};
    }
    const switch_prepare prepare{this->place.group, proposed, this->known->map, wanted};
    // The coordinator's own promise counts like any other.
    const switch_vote own = this->vote_on(prepare);
    if (!own.promised) {
        return failure{error_kind::conflict, own.reason};
    }
    return prepare;
}

// Model: proctype coordinator with IS_COORDINATING. A restarted agent has no promise and coordinates no more.
std::optional<switch_decision> switch_participant::close_switch(const switch_ballot& own, bool all_promised) {
    const std::lock_guard lock{this->mutex};
    if (this->recovering || !this->promise || this->promise->order.ballot != own || this->ballot != own) {
        return std::nullopt;
    }
    this->apply(all_promised ? this->promise->order.next : *this->known);
    return switch_decision{this->place.group, own, true, *this->known};
}

// Model: READ_EVENTS and the event that sets ballots_read.
void switch_participant::take_ballots(const std::vector<switch_ballot>& others) {
    const std::lock_guard lock{this->mutex};
    if (!this->recovering || this->ballots_read || others.size() + 1 != this->place.ranks) {
        return;
    }
    for (const switch_ballot& other : others) {
        this->ballot = std::max(this->ballot, other);
    }
    this->ballots_read = true;
}

// Model: QUERY_EVENTS, second event.
std::optional<switch_query> switch_participant::open_recovery() {
    const std::lock_guard lock{this->mutex};
    if (!this->is_answering() || (!this->recovering && !this->promise)) {
        return std::nullopt;
    }
    this->ballot = this->next_ballot(this->gate.highest());
    this->last_answer = this->make_answer(this->ballot);
    return switch_query{this->place.group, this->ballot, false};
}

// Model: QUERY_EVENTS, third event. ONE_COMMITTED is the highest map that a rank knows: versions only rise by commits.
std::optional<switch_decision> switch_participant::close_recovery(const switch_ballot& own,
                                                                  const std::vector<switch_state>& answers,
                                                                  const std::optional<map_start>& cold_start) {
    const std::lock_guard lock{this->mutex};
    const bool is_own = this->last_answer && this->last_answer->ballot == own && this->ballot == own;
    if (!this->is_answering() || !is_own || (!this->recovering && !this->promise)) {
        return std::nullopt;
    }
    std::vector<bool> answered(this->place.ranks, false);
    answered.at(this->place.rank) = true;
    std::optional<map_start> decided = this->last_answer->known;
    for (const switch_state& answer : answers) {
        if (!answer.answers || answer.ballot != own || answer.rank >= this->place.ranks) {
            return std::nullopt;
        }
        answered[answer.rank] = true;
        if (answer.known && (!decided || answer.known->map.version > decided->map.version)) {
            decided = answer.known;
        }
    }
    // Outside the model: when no rank has run a step, the stored map is the only one known.
    decided = decided ? decided : cold_start;
    if (!decided || std::find(answered.begin(), answered.end(), false) != answered.end()) {
        return std::nullopt;
    }
    this->apply(*decided);
    return switch_decision{this->place.group, own, false, *decided};
}

void switch_participant::observe_ballot(const switch_ballot& seen) {
    const std::lock_guard lock{this->mutex};
    this->seen_outside = std::max(this->seen_outside, seen);
}

bool switch_participant::needs_recovery(std::chrono::milliseconds limit) const {
    const std::lock_guard lock{this->mutex};
    if (this->recovering) {
        return this->is_answering();
    }
    return this->promise && this->time.now() - this->promise->since >= limit;
}

bool switch_participant::needs_ballots() const {
    const std::lock_guard lock{this->mutex};
    return this->recovering && this->is_reported && !this->ballots_read;
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
    return this->recovering ? std::nullopt : this->known;
}

std::uint64_t switch_participant::next_step() const {
    const std::lock_guard lock{this->mutex};
    return this->next;
}

} // namespace pomelohoist
