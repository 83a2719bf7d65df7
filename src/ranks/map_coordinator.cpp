#include "ranks/map_coordinator.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace pomelohoist {

namespace {

double mean_of(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

std::string milliseconds_text(seconds_span value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string percent_text(double value) {
    constexpr double hundredths = 100.0;
    return std::to_string(std::lround(value * hundredths)) + "%";
}

// Copies per rank of the plans that are compared.
constexpr std::array<std::uint32_t, 5> copy_budgets{1, 2, 4, 8, std::numeric_limits<std::uint32_t>::max()};
// Copies that take less than this in total are not worth a comparison of plans.
constexpr seconds_span negligible_copy_time{0.1};
constexpr seconds_span first_switch_overhead{0.5};
constexpr double overhead_gain = 0.3;
// Part by which steps take longer while experts are copied.
constexpr double copy_slowdown = 0.15;
// While a map is prepared, a load under which its peaks exceed the planned ones by this factor makes it obsolete.
constexpr double obsolete_factor = 1.35;

} // namespace

map_coordinator::map_coordinator(rank_group& controlled_group, rank_sweep& sweeper, map_switcher& group_switcher,
                                 const expert_shape& group_shape, const map_policy& tunables, const clock& time_source,
                                 structured_log& process_log, metrics_registry& metrics)
    : group(controlled_group), sweep(sweeper), switcher(group_switcher), shape(group_shape), policy(tunables),
      time(time_source), log(process_log), switches(metrics.get_counter("map_switches_total")),
      detector(group_shape, tunables.window, tunables.first_life), switch_overhead(first_switch_overhead) {}

bool map_coordinator::run_once() {
    const std::optional<std::vector<rank_state>> states = this->switcher.read_states();
    if (!states) {
        this->switcher.release_unarmed_hold(this->shape);
    }
    // The loads are updated even while the group is not open, so that the first plan can use the counts of the group's
    // first steps.
    this->update_loads();
    if (!states) {
        this->step_observed_at.reset();
        this->rounds_to_first_plan = config::fast_map_rounds;
        return !this->switcher.is_superseded();
    }
    if (states->front().epoch != this->epoch) {
        this->epoch = states->front().epoch;
        this->current_slots.clear();
        this->step_observed_at.reset();
        this->rounds_to_first_plan = config::fast_map_rounds;
    }
    this->observe_step_time(*states);
    const bool is_ready = this->switcher.recover(*states);
    if (this->switcher.is_superseded()) {
        return false;
    }
    this->rounds_to_first_plan -= this->is_forming() ? 1 : 0;
    if (!this->has_enough_samples() || !is_ready) {
        return true;
    }
    this->rounds_to_first_plan = 0;
    if (!this->load_slots(*states)) {
        return true;
    }
    bool is_fenced = false;
    // When the load changes during the preparation of a map, the map for the new load is prepared without a pause.
    for (std::uint32_t attempt = 0; attempt < config::consecutive_plans; ++attempt) {
        const std::optional<std::vector<std::uint32_t>> planned = this->plan();
        this->is_obsolete = false;
        is_fenced = planned && !this->switch_to(*states, *planned);
        if (!this->is_obsolete) {
            break;
        }
    }
    return !is_fenced;
}

bool map_coordinator::switch_to(const std::vector<rank_state>& states, const std::vector<std::uint32_t>& planned) {
    const steady_time planned_at = this->time.now();
    const map_switcher::outcome outcome = this->switcher.switch_to(states, this->shape, planned, *this);
    if (outcome == map_switcher::outcome::switched) {
        this->switches.add();
        this->current_slots = planned;
        this->current_version = this->switcher.switched_version();
        const seconds_span overhead = this->time.now() - planned_at - this->wanted_copy_time;
        this->switch_overhead += overhead_gain * (std::max(overhead, seconds_span::zero()) - this->switch_overhead);
    }
    return outcome != map_switcher::outcome::fenced;
}

bool map_coordinator::is_still_wanted() {
    if (!this->update_loads() || !this->detector.is_settled()) {
        return true;
    }
    const double peak = mean_of(layer_peaks(this->shape, this->wanted_slots, this->detector.loads()));
    if (peak <= this->wanted_peak * obsolete_factor) {
        return true;
    }
    this->log.info("prepared_map_obsolete",
                   {{"peak_planned", percent_text(this->wanted_peak)}, {"peak", percent_text(peak)}});
    this->is_obsolete = true;
    return false;
}

bool map_coordinator::update_loads() {
    // All ranks of a group choose alike, so some ranks of a large group suffice.
    const std::uint32_t sampled = std::min(this->shape.ranks, config::counted_ranks);
    std::vector<std::vector<std::uint64_t>> counts(sampled);
    this->sweep.for_each(sampled, [this, sampled, &counts](std::uint32_t i) {
        const std::uint32_t rank = i * this->shape.ranks / sampled;
        result<std::vector<std::uint64_t>> read = this->group.rank(rank).read_counts();
        if (read && read->size() == this->shape.cells()) {
            counts[i] = std::move(*read);
        }
    });
    const bool has_selections = this->add_selections(counts);
    this->last_counts = std::move(counts);
    this->counted_at = this->time.now();
    return has_selections;
}

bool map_coordinator::add_selections(const std::vector<std::vector<std::uint64_t>>& counts) {
    if (this->last_counts.size() != counts.size()) {
        return false;
    }
    std::vector<double> selections(this->shape.cells(), 0.0);
    bool has_counts = false;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i].empty() || this->last_counts[i].empty()) {
            continue;
        }
        has_counts = true;
        for (std::size_t cell = 0; cell < selections.size(); ++cell) {
            // After a restart, a rank counts from zero.
            const std::uint64_t previous =
                counts[i][cell] >= this->last_counts[i][cell] ? this->last_counts[i][cell] : 0;
            selections[cell] += static_cast<double>(counts[i][cell] - previous);
        }
    }
    if (has_counts) {
        this->detector.add(selections, this->time.now() - this->counted_at);
    }
    return has_counts;
}

bool map_coordinator::has_enough_samples() const {
    const std::vector<double>& loads = this->detector.loads();
    const double sample = std::accumulate(loads.begin(), loads.end(), 0.0);
    return sample >= config::least_sample_per_expert * static_cast<double>(loads.size());
}

void map_coordinator::observe_step_time(const std::vector<rank_state>& states) {
    const std::uint64_t step = states.front().step;
    const steady_time now = this->time.now();
    if (this->step_observed_at && step > this->observed_step) {
        const std::chrono::duration<double, std::milli> elapsed = now - *this->step_observed_at;
        const double sample = elapsed.count() / static_cast<double>(step - this->observed_step);
        constexpr double gain = 0.4;
        this->step_ms += (this->step_ms > 0.0 ? gain : 1.0) * (sample - this->step_ms);
    }
    this->step_observed_at = now;
    this->observed_step = step;
}

bool map_coordinator::load_slots(const std::vector<rank_state>& states) {
    const std::uint64_t version = states.front().map_version;
    if (!std::all_of(states.begin(), states.end(),
                     [version](const rank_state& state) { return state.map_version == version; })) {
        return false; // a switch is in progress; in a later round all ranks have the same version
    }
    if (!this->current_slots.empty() && version == this->current_version) {
        return true;
    }
    std::vector<result<rank_experts>> read(this->shape.ranks, failure{error_kind::unreachable, "not read"});
    this->sweep.for_each(this->shape.ranks,
                         [this, &read](std::uint32_t rank) { read[rank] = this->group.rank(rank).read_experts(); });
    std::vector<std::uint32_t> slots(this->shape.slots(), no_expert);
    for (std::uint32_t rank = 0; rank < this->shape.ranks; ++rank) {
        const result<rank_experts>& held = read[rank];
        if (!held || held->map_version != version || held->by_layer.size() != this->shape.layers) {
            return false;
        }
        for (std::uint32_t layer = 0; layer < this->shape.layers; ++layer) {
            const std::vector<std::uint32_t>& experts = held->by_layer[layer];
            if (experts.size() > this->shape.slots_per_rank) {
                return false;
            }
            std::copy(experts.begin(), experts.end(),
                      slots.begin() + static_cast<std::ptrdiff_t>(layer * this->shape.slots_per_layer() +
                                                                  std::size_t{rank} * this->shape.slots_per_rank));
        }
    }
    this->current_slots = std::move(slots);
    this->current_version = version;
    return true;
}

std::optional<std::vector<std::uint32_t>> map_coordinator::plan() {
    if (!this->detector.is_settled()) {
        return std::nullopt;
    }
    const switch_threshold& threshold =
        this->step_ms >= this->policy.busy_step_ms ? this->policy.busy : this->policy.calm;
    const std::vector<double>& loads = this->detector.loads();
    const double before = mean_of(layer_peaks(this->shape, this->current_slots, loads));
    std::optional<layer_plan> best;
    double best_value = threshold.min_switch_gain;
    std::uint32_t compared_copies = std::numeric_limits<std::uint32_t>::max();
    // From the largest budget to the smallest: a plan that needs fewer copies than the next budget makes it needless.
    for (auto budget = copy_budgets.rbegin(); budget != copy_budgets.rend(); ++budget) {
        if (*budget >= compared_copies) {
            continue;
        }
        layer_plan candidate =
            plan_layers(this->shape, this->current_slots, loads,
                        {this->policy.max_new, threshold.min_gain_per_copy, threshold.acceptable_peak, *budget});
        compared_copies = candidate.copies_per_rank;
        const double value = this->value_of(candidate, before);
        if (value >= best_value) {
            best_value = value;
            best = std::move(candidate);
        }
        if (compared_copies * this->policy.copy_time <= negligible_copy_time) {
            break;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    this->wanted_slots = best->slots;
    this->wanted_peak = mean_of(layer_peaks(this->shape, best->slots, loads));
    this->wanted_copy_time = best->copies_per_rank * this->policy.copy_time;
    this->log.info("map_planned", {{"epoch", std::to_string(this->epoch)},
                                   {"peak_before", percent_text(before)},
                                   {"peak_after", percent_text(this->wanted_peak)},
                                   {"copies_per_rank", std::to_string(best->copies_per_rank)},
                                   {"load_age_ms", milliseconds_text(this->detector.age())},
                                   {"load_life_ms", milliseconds_text(this->detector.remaining_life())},
                                   {"overhead_ms", milliseconds_text(this->switch_overhead)},
                                   {"step_ms", std::to_string(std::lround(this->step_ms))},
                                   {"version", std::to_string(this->current_version)}});
    return std::move(best->slots);
}

double map_coordinator::value_of(const layer_plan& candidate, double peak_before) const {
    const seconds_span life = this->detector.remaining_life();
    const seconds_span copying = candidate.copies_per_rank * this->policy.copy_time;
    const seconds_span delay = this->switch_overhead + copying;
    const double gain = peak_before - mean_of(layer_peaks(this->shape, candidate.slots, this->detector.loads()));
    return gain * std::max((life - delay) / life, 0.0) - copy_slowdown * peak_before * std::min(copying / life, 1.0);
}

} // namespace pomelohoist
