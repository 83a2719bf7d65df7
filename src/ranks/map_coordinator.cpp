#include "ranks/map_coordinator.h"

#include "balance/layer_planner.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace pomelohoist {

namespace {

double mean_of(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(values.size(), 1));
}

std::string percent_text(double value) {
    constexpr double hundredths = 100.0;
    return std::to_string(std::lround(value * hundredths)) + "%";
}

} // namespace

map_coordinator::map_coordinator(rank_group& controlled_group, rank_sweep& sweeper, map_switcher& group_switcher,
                                 const expert_shape& group_shape, const map_policy& tunables, const clock& time_source,
                                 structured_log& process_log, metrics_registry& metrics)
    : group(controlled_group), sweep(sweeper), switcher(group_switcher), shape(group_shape), policy(tunables),
      time(time_source), log(process_log), switches(metrics.get_counter("map_switches_total")),
      loads(group_shape.cells(), 0.0) {}

bool map_coordinator::run_once() {
    const std::optional<std::vector<rank_state>> states = this->switcher.read_states();
    // The loads are updated even while the group is not open, so that the first plan can use the counts of the group's
    // first steps.
    this->update_loads();
    if (!states) {
        this->step_observed_at.reset();
        this->rounds_to_first_plan = config::fast_map_rounds;
        return true;
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
    const std::optional<std::vector<std::uint32_t>> planned = this->load_slots(*states) ? this->plan() : std::nullopt;
    if (!planned) {
        return true;
    }
    const map_switcher::outcome outcome = this->switcher.switch_to(*states, this->shape, *planned);
    if (outcome == map_switcher::outcome::switched) {
        this->switches.add();
        this->current_slots = *planned;
        this->current_version = this->switcher.switched_version();
    }
    return outcome != map_switcher::outcome::fenced;
}

void map_coordinator::update_loads() {
    std::vector<result<std::vector<std::uint64_t>>> read(this->shape.ranks,
                                                         failure{error_kind::unreachable, "not read"});
    this->sweep.for_each(this->shape.ranks,
                         [this, &read](std::uint32_t rank) { read[rank] = this->group.rank(rank).read_counts(); });
    std::vector<std::vector<std::uint64_t>> counts;
    for (result<std::vector<std::uint64_t>>& each : read) {
        if (!each || each->size() != this->shape.cells()) {
            return; // counts are cumulative: the next round that reads all ranks includes this round's selections
        }
        counts.push_back(std::move(*each));
    }
    if (this->last_counts.size() == counts.size()) {
        this->add_selections(counts);
    }
    this->last_counts = std::move(counts);
    this->counted_at = this->time.now();
}

void map_coordinator::add_selections(const std::vector<std::vector<std::uint64_t>>& counts) {
    const std::chrono::duration<double> elapsed = this->time.now() - this->counted_at;
    const double decay = std::exp(-elapsed.count() / this->policy.window_s);
    for (double& load : this->loads) {
        load *= decay;
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
        for (std::size_t cell = 0; cell < this->loads.size(); ++cell) {
            // After a restart, a rank counts from zero.
            const std::uint64_t previous =
                counts[i][cell] >= this->last_counts[i][cell] ? this->last_counts[i][cell] : 0;
            this->loads[cell] += static_cast<double>(counts[i][cell] - previous);
        }
    }
}

bool map_coordinator::has_enough_samples() const {
    const double sample = std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
    return sample >= config::least_sample_per_expert * static_cast<double>(this->loads.size());
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

std::optional<std::vector<std::uint32_t>> map_coordinator::plan() const {
    const std::vector<std::uint32_t>& slots = this->current_slots;
    const switch_threshold& threshold =
        this->step_ms >= this->policy.busy_step_ms ? this->policy.busy : this->policy.calm;
    const layer_plan_limits limits{this->policy.max_new, threshold.min_gain_per_copy, threshold.acceptable_peak};
    std::vector<std::uint32_t> planned = plan_layers(this->shape, slots, this->loads, limits);
    const double before = mean_of(layer_peaks(this->shape, slots, this->loads));
    const double after = mean_of(layer_peaks(this->shape, planned, this->loads));
    if (before - after < threshold.min_switch_gain) {
        return std::nullopt;
    }
    this->log.info("map_planned", {{"epoch", std::to_string(this->epoch)},
                                   {"peak_before", percent_text(before)},
                                   {"peak_after", percent_text(after)},
                                   {"step_ms", std::to_string(std::lround(this->step_ms))},
                                   {"version", std::to_string(this->current_version)}});
    return planned;
}

} // namespace pomelohoist
