#include "group/group_simulation.h"

#include <algorithm>

namespace pomelohoist::test_group {

namespace {

// Same bound as RESTARTS in models/map_switch.pml. The loss of the state of all ranks is a cold start, which the model
// does not cover.
constexpr std::uint32_t max_restarts_of_a_switch = 2;
constexpr map_start first_map{{1, 1}, 0};

} // namespace

group_simulation::group_simulation(std::uint32_t number_of_ranks)
    : ranks(number_of_ranks), members(number_of_ranks), simulated_ranks(number_of_ranks),
      incarnations(number_of_ranks, 0) {
    for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
        this->start_member(rank);
    }
    this->run_without_faults(1);
}

void group_simulation::start_member(std::uint32_t rank) {
    member& new_member = this->members[rank];
    new_member = member{std::make_unique<fencing_gate>(), nullptr, {}, {}};
    const group_position position{"g", rank, this->ranks, ++this->incarnations[rank]};
    new_member.participant =
        std::make_unique<switch_participant>(position, this->time, *new_member.gate, this->contents);
}

// The simulation bounds the restarts during one switch, as models/map_switch.pml does. The count of restarts is reset
// when no rank is recovering or undecided and all ranks have the same map.
bool group_simulation::is_group_idle() const {
    return std::all_of(this->members.begin(), this->members.end(), [this](const member& member) {
        return !member.participant->is_recovering() && !member.participant->has_open_promise() &&
               member.participant->in_force() == this->members.front().participant->in_force();
    });
}

void group_simulation::restart(std::uint32_t rank) {
    if (this->is_group_idle()) {
        this->restarts_since_idle = 0;
    }
    if (this->restarts_since_idle == std::min(max_restarts_of_a_switch, this->ranks - 1)) {
        return;
    }
    ++this->restarts_since_idle;
    ++this->restart_count;
    this->start_member(rank);
}

void group_simulation::start_step(std::uint32_t rank) {
    lock_step_rank& simulated_rank = this->simulated_ranks[rank];
    const bool is_free =
        std::all_of(this->simulated_ranks.begin(), this->simulated_ranks.end(),
                    [&simulated_rank](const lock_step_rank& peer) { return peer.next >= simulated_rank.next; });
    switch_participant& agent = *this->members[rank].participant;
    agent.report({simulated_rank.next, simulated_rank.running});
    const auto granted = is_free ? agent.grant_step({simulated_rank.next, simulated_rank.running}) : std::nullopt;
    if (!granted) {
        return;
    }
    const auto first_use = this->map_of_step.emplace(simulated_rank.next, granted->map).first;
    if (first_use->second != granted->map && !this->two_map_step) {
        this->two_map_step = simulated_rank.next;
    }
    simulated_rank.running = granted;
    ++simulated_rank.next;
}

void group_simulation::read_ballot(std::uint32_t rank, std::uint32_t from) {
    member& reader = this->members[rank];
    if (rank == from || !reader.participant->needs_ballots() || !reader.read_from.insert(from).second) {
        return;
    }
    const inner::switch_query read{"g", {}, true};
    reader.read_ballots.push_back(this->members[from].participant->handle_query(read).highest);
    reader.participant->set_ballots(reader.read_ballots);
}

void group_simulation::open_switch(std::uint32_t rank, std::uint32_t lead) {
    switch_participant& participant = *this->members[rank].participant;
    const auto in_force = participant.in_force();
    if (!in_force) {
        return;
    }
    const map_start next{{in_force->map.version + 1, ++this->next_digest},
                         participant.next_step() + this->next_digest % 7};
    // An even `lead` reuses the current epoch: this simulates a second coordinator with the same epoch as an earlier
    // coordinator.
    const auto opened = participant.open_switch(this->epoch + lead % 2, next);
    if (opened) {
        this->epoch = std::max(this->epoch, opened->ballot.epoch);
        this->prepares.push_back(*opened);
    }
}

void group_simulation::close_switch(std::uint32_t rank, bool may_abort) {
    switch_participant& participant = *this->members[rank].participant;
    for (const inner::switch_prepare& prepare : this->prepares) {
        if (prepare.ballot.rank != rank || prepare.ballot.incarnation != this->incarnations[rank]) {
            continue;
        }
        const bool all_promised = is_promised_by_all(this->votes, prepare.ballot, {"g", rank, this->ranks, 1});
        if (!all_promised && !may_abort) {
            continue;
        }
        const auto decision = participant.close_switch(prepare.ballot, all_promised);
        if (decision) {
            this->committed += all_promised ? 1 : 0;
            this->decisions.push_back(*decision);
        }
    }
}

void group_simulation::open_recovery(std::uint32_t rank) {
    const auto query = this->members[rank].participant->open_recovery();
    if (query) {
        this->queries.push_back(*query);
    }
}

void group_simulation::close_recovery(std::uint32_t rank) {
    for (const inner::switch_query& query : this->queries) {
        if (query.ballot.rank != rank) {
            continue;
        }
        std::vector<inner::switch_state> responses;
        std::copy_if(this->states.begin(), this->states.end(), std::back_inserter(responses),
                     [&query](const inner::switch_state& state) { return state.ballot == query.ballot; });
        const auto decision = this->members[rank].participant->close_recovery(query.ballot, responses, first_map);
        if (decision) {
            this->decisions.push_back(*decision);
        }
    }
}

void group_simulation::run_event(std::uint32_t kind, std::uint32_t rank, std::uint32_t message) {
    rank %= this->ranks;
    switch_participant& participant = *this->members[rank].participant;
    switch (kind % event_kinds) {
    case 0:
        return rank == 0 || message % 4 == 0 ? this->open_switch(rank, message) : this->start_step(rank);
    case 1:
    case 2:
    case 3:
    case 4:
        if (const auto* prepare = this->pick_recent(this->prepares, message)) {
            this->votes.push_back(participant.handle_prepare(*prepare));
        }
        return;
    case 11:
        return this->close_switch(rank, message % 16 == 15);
    case 12:
        return message % 4 == 2 ? this->open_recovery(rank) : this->close_switch(0, false);
    case 5:
    case 6:
        if (const auto* query = this->pick_recent(this->queries, message)) {
            const auto state = participant.handle_query(*query);
            if (state.has_responded) {
                this->states.push_back(state);
            }
        }
        return;
    case 7:
        return this->close_recovery(rank);
    case 8:
        if (const auto* decision = this->pick_recent(this->decisions, message)) {
            participant.handle_decision(*decision);
        }
        return;
    case 9:
        return message % 8 == 3 ? this->restart(rank) : this->start_step(rank);
    case 10:
        return this->read_ballot(rank, message % this->ranks);
    default:
        return this->start_step(rank);
    }
}

bool group_simulation::run_without_faults(std::uint64_t more_steps) {
    const std::uint64_t target_step = this->simulated_ranks.front().next + more_steps;
    constexpr std::uint32_t max_rounds = 40;
    for (std::uint32_t round = 0; round < max_rounds + more_steps; ++round) {
        for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
            this->start_step(rank);
            for (std::uint32_t from = 0; from < this->ranks; ++from) {
                this->read_ballot(rank, from);
            }
        }
        const std::uint32_t proposer = round % this->ranks;
        this->open_recovery(proposer);
        for (std::uint32_t rank = 0; rank < this->ranks && !this->queries.empty(); ++rank) {
            const auto state = this->members[rank].participant->handle_query(this->queries.back());
            if (state.has_responded) {
                this->states.push_back(state);
            }
            this->members[proposer].participant->observe_ballot(state.highest);
        }
        this->close_recovery(proposer);
        for (std::uint32_t rank = 0; rank < this->ranks && !this->decisions.empty(); ++rank) {
            this->members[rank].participant->handle_decision(this->decisions.back());
        }
    }
    return std::all_of(
        this->simulated_ranks.begin(), this->simulated_ranks.end(),
        [target_step](const lock_step_rank& simulated_rank) { return simulated_rank.next >= target_step; });
}

} // namespace pomelohoist::test_group
