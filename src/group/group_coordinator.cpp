#include "group/group_coordinator.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::uint32_t max_lead_doublings = 6; // limits the lead to 2^6 times its initial value

} // namespace

group_coordinator::group_coordinator(const group_position& own_position, const coordinator_parts& used_parts,
                                     std::unique_ptr<expert_balancer> policy)
    : position(own_position), parts(used_parts), balancer(std::move(policy)) {}

coordinator_outcome group_coordinator::run() {
    const std::optional<std::uint64_t> epoch = this->parts.group_lease.held_epoch();
    const std::optional<map_start> in_force = this->parts.participant.in_force();
    const map_ptr map = in_force ? this->parts.maps.find(in_force->map) : nullptr;
    if (!epoch || !map) {
        this->planned_map.reset();
        return coordinator_outcome::not_holder;
    }
    // The map in force may be unrecorded: an earlier coordinator stopped before it wrote the map, or the write failed.
    if (this->recorded_version < map->version() && this->parts.record.write(*map, *epoch)) {
        this->recorded_version = map->version();
    }
    if (this->planned_map && this->planned_base != in_force->map) {
        this->planned_map.reset();
    }
    std::vector<inner::step_report> reports;
    const steady_time now = this->parts.time.now();
    if (now >= this->next_observation) {
        this->next_observation = now + config::observation_interval_per_rank * this->position.ranks;
        reports = this->parts.measurements.latest();
    }
    const bool has_new_reports = reports.size() == this->position.ranks &&
                                 reports.front().in_force.map == in_force->map &&
                                 reports.front().step != this->observed_step;
    if (has_new_reports) {
        this->observe(reports, *map);
    }
    if (!this->planned_map) {
        if (!has_new_reports) {
            return coordinator_outcome::no_measurement;
        }
        this->plan(*map);
        this->planned_base = in_force->map;
    }
    if (!this->planned_map) {
        return coordinator_outcome::no_change;
    }
    if (!this->request_copies()) {
        return coordinator_outcome::copying;
    }
    return this->start_switch(*epoch, *in_force);
}

void group_coordinator::observe(const std::vector<inner::step_report>& reports, const expert_map& in_force) {
    std::vector<double> tokens(in_force.shape().cells(), 0.0);
    std::vector<double> times;
    const expert_shape& shape = in_force.shape();
    // A rank reports tokens per slot, because counts for all experts of a large group would be a hundred times as many.
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
        const inner::step_report& report = reports[rank];
        times.push_back(report.time_ms);
        const std::size_t cells = std::size_t{shape.layers} * shape.slots_per_rank;
        for (std::size_t i = 0; i < std::min(cells, report.tokens.size()); ++i) {
            const auto layer = static_cast<std::uint32_t>(i / shape.slots_per_rank);
            const auto slot = static_cast<std::uint32_t>(i % shape.slots_per_rank);
            const std::uint32_t expert = in_force.expert_at(layer, rank, slot);
            if (expert != no_expert) {
                tokens[std::size_t{layer} * shape.experts + expert] += report.tokens[i];
            }
        }
    }
    this->step_ms = *std::max_element(times.begin(), times.end());
    this->observed_step = reports.front().step;
    this->balancer->observe(tokens, times, in_force);
}

void group_coordinator::plan(const expert_map& in_force) {
    const std::vector<expert_move> moves = this->balancer->plan(in_force);
    const result<expert_map> next = in_force.with_moves(moves);
    if (moves.empty() || !next) {
        return;
    }
    this->pending_copies.clear();
    for (const expert_move& move : moves) {
        if (move.expert != no_expert && !in_force.holds(move.layer, move.rank, move.expert)) {
            this->pending_copies.push_back({move.layer, move.expert, move.rank});
        }
    }
    this->planned_map = *next;
}

// The weight store limits the copy rate by refusing requests. The next runs of the coordinator request the remaining
// copies, and no step waits for these copies.
bool group_coordinator::request_copies() {
    while (!this->pending_copies.empty()) {
        const expert_copy& copy = this->pending_copies.back();
        const result<done> accepted =
            this->parts.weights.fetch_expert(this->position.group, copy.layer, copy.expert, copy.rank);
        if (!accepted) {
            this->reason = accepted.last_error().reason;
            return false;
        }
        this->pending_copies.pop_back();
    }
    return true;
}

// A switch is aborted when a rank has already started the target step before the prepare message arrives. The lead
// (number of steps until the target step) therefore doubles after each abort.
std::uint64_t group_coordinator::lead_steps() const {
    const double lead_time_ms = static_cast<double>(config::switch_lead_time.count());
    const double steps = this->step_ms > 0 ? std::ceil(lead_time_ms / this->step_ms) : 0;
    // Counts a step as 1 ms or longer, so that a very short measured time does not give an unbounded lead.
    const auto lead = config::switch_lead_steps + static_cast<std::uint64_t>(std::min(steps, lead_time_ms));
    return lead << std::min(this->consecutive_aborts, max_lead_doublings);
}

coordinator_outcome group_coordinator::start_switch(std::uint64_t epoch, const map_start& in_force) {
    const std::uint64_t next_step = this->parts.participant.next_step();
    if (next_step <= in_force.from_step) {
        return coordinator_outcome::no_measurement;
    }
    const map_start next{this->parts.maps.add(*this->planned_map), next_step + this->lead_steps()};
    const result<done> outcome = this->parts.switches.run(epoch, next);
    if (!outcome) {
        this->reason = outcome.last_error().reason;
        ++this->consecutive_aborts;
        return coordinator_outcome::aborted;
    }
    this->consecutive_aborts = 0;
    this->planned_map.reset();
    return coordinator_outcome::committed;
}

} // namespace pomelohoist
