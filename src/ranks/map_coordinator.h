#pragma once

#include "balance/layer_planner.h"
#include "balance/load_shift_detector.h"
#include "common/log.h"
#include "common/metrics.h"
#include "ranks/map_switcher.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Adapts the expert map of one group to the load of the experts.
namespace pomelohoist {

/// Minimum benefit of a switch. A switch must exceed a threshold because copying experts is expensive and slows the
/// steps during the copy. The threshold is lower when busy ranks make the steps slow: callers then benefit most.
struct switch_threshold {
    double min_gain_per_copy{0.0}; ///< minimum decrease of a layer's largest load per copy, relative to the mean
    double acceptable_peak{0.0};   ///< largest load, relative to the mean, up to which a layer is not changed
    double min_switch_gain{0.0};   ///< minimum decrease of the mean of the layers' peaks

    friend bool operator==(const switch_threshold&, const switch_threshold&) = default;
};

struct map_policy {
    seconds_span window{2.0};     ///< averaging time of the experts' loads
    seconds_span first_life{4.0}; ///< expected time between two changes of the load, until changes were seen
    /// Step time from which on `busy` applies; half of the usual target for the pauses of a stream.
    double busy_step_ms{65.0};
    switch_threshold busy{0.004, 1.06, 0.05};
    switch_threshold calm{0.02, 1.4, 0.5};
    std::uint32_t max_new{0};    ///< experts of a layer that one plan may add to a rank
    seconds_span copy_time{0.0}; ///< time in which a rank copies one expert

    friend bool operator==(const map_policy&, const map_policy&) = default;
};

/// Reads the expert counts of all ranks, plans a map for the current load, and switches when the plan's benefit exceeds
/// the threshold.
/// @attention used by one thread
class map_coordinator : private switch_monitor {
  public:
    map_coordinator(rank_group& controlled_group, rank_sweep& sweeper, map_switcher& group_switcher,
                    const expert_shape& group_shape, const map_policy& tunables, const clock& time_source,
                    structured_log& process_log, metrics_registry& metrics);

    /// Runs one round: reads the ranks, recovers an unfinished switch, plans, and switches.
    /// @returns false when another coordinator has taken over
    bool run_once();
    /// @returns true from the forming of a group until its first plan, or until `config::fast_map_rounds` rounds have
    /// passed without enough counts to plan; the caller should run rounds at short intervals meanwhile
    [[nodiscard]] bool is_forming() const { return this->rounds_to_first_plan > 0; }

  private:
    bool is_still_wanted() override;
    /// @returns false when another coordinator has taken over
    bool switch_to(const std::vector<rank_state>& states, const std::vector<std::uint32_t>& planned);
    /// @returns false when the counts of no rank were read twice in a row
    bool update_loads();
    /// Adds the selections of the ranks whose counts were read in this round and in the round before.
    bool add_selections(const std::vector<std::vector<std::uint64_t>>& counts);
    /// @returns true when the counts suffice for a plan
    [[nodiscard]] bool has_enough_samples() const;
    void observe_step_time(const std::vector<rank_state>& states);
    /// Loads the current map from the ranks, unless it is known already.
    /// @returns false when the ranks cannot be read or do not have the same map
    bool load_slots(const std::vector<rank_state>& states);
    /// @returns the map to switch to, or nothing when no switch is worth its costs
    [[nodiscard]] std::optional<std::vector<std::uint32_t>> plan();
    /// @returns expected decrease of the mean of the layers' peaks, averaged over the remaining life of the load
    [[nodiscard]] double value_of(const layer_plan& candidate, double peak_before) const;

    rank_group& group;
    rank_sweep& sweep;
    map_switcher& switcher;
    expert_shape shape;
    map_policy policy;
    const clock& time;
    structured_log& log;
    counter& switches;
    std::uint64_t epoch{0};
    /// Expert counts that each sampled rank reported in the last round; empty for a rank that did not respond.
    std::vector<std::vector<std::uint64_t>> last_counts;
    load_shift_detector detector;
    steady_time counted_at{};
    seconds_span switch_overhead; ///< moving average of the time from a plan to the switch, without the copies
    std::vector<std::uint32_t> wanted_slots;     ///< map that is being prepared
    seconds_span wanted_copy_time{0.0};          ///< time in which the ranks prepare that map
    bool is_obsolete{false};                     ///< the load has changed since that map was planned
    double wanted_peak{0.0};                     ///< mean of the layers' peaks for which that map was planned
    std::optional<steady_time> step_observed_at; ///< empty in a new epoch and after a failed read of the ranks
    std::uint64_t observed_step{0};
    std::uint32_t rounds_to_first_plan{0};
    double step_ms{0.0}; ///< moving average of the step time, in milliseconds; kept while no step begins
    std::vector<std::uint32_t> current_slots; ///< empty while not loaded
    std::uint64_t current_version{0};
};

} // namespace pomelohoist
