#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "ranks/map_switcher.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Keeps the expert map of one group close to the demand.
namespace pomelohoist {

/// What a switch has to bring. Copies are dear and slow the steps while they last, so they are made where callers gain:
/// where steps are slow, because the ranks are busy.
struct switch_threshold {
    double least_gain{0.0};  ///< see `layer_plan_limits`
    double good_enough{0.0}; ///< see `layer_plan_limits`
    double switch_gain{0.0}; ///< decrease of the mean peak that a switch must bring

    friend bool operator==(const switch_threshold&, const switch_threshold&) = default;
};

struct map_policy {
    double window_s{1.0};      ///< averaging time of the experts' loads
    double busy_step_ms{65.0}; ///< steps from here on are slow; half of the usual pause target
    switch_threshold busy{0.004, 1.06, 0.05};
    switch_threshold calm{0.02, 1.4, 0.5};
    std::uint32_t max_new{0}; ///< see `layer_plan_limits`

    friend bool operator==(const map_policy&, const map_policy&) = default;
};

/// Answers drifting popularity of experts: reads the counts of all ranks, and switches when the plan saves enough.
/// @attention used by one thread
class map_coordinator {
  public:
    map_coordinator(rank_group& controlled, rank_sweep& calls, map_switcher& switches, const expert_shape& group_shape,
                    const map_policy& tunables, const clock& time_source, structured_log& process_log,
                    metrics_registry& metrics);

    /// One round: read, settle, plan, switch.
    /// @returns false when another coordinator has taken over
    bool run_once();
    /// @returns true until a group that has formed anew has had its first plan, or has had no work for some rounds;
    /// rounds should follow each other quickly so long
    [[nodiscard]] bool is_forming() const { return this->rounds_to_first_plan > 0; }

  private:
    void observe_counts();
    void add_chosen(const std::vector<std::vector<std::uint64_t>>& counts);
    /// @returns true when enough was counted to plan by
    [[nodiscard]] bool knows_loads() const;
    void observe_step_time(const std::vector<rank_state>& states);
    /// Learns the map in force from the ranks, unless this process has switched to it.
    bool learn_slots(const std::vector<rank_state>& states);
    [[nodiscard]] std::optional<std::vector<std::uint32_t>> plan() const;

    rank_group& group;
    rank_sweep& sweep;
    map_switcher& switcher;
    expert_shape shape;
    map_policy policy;
    const clock& time;
    structured_log& log;
    counter& switches;
    std::uint64_t epoch{0};
    std::vector<std::vector<std::uint64_t>> last_counts; ///< of each rank
    std::vector<double> loads;                           ///< expected tokens, in the order layer, expert
    steady_time counted_at{};
    std::optional<steady_time> step_observed_at; ///< in this epoch
    std::uint64_t observed_step{0};
    std::uint32_t rounds_to_first_plan{0};
    double step_ms{0.0};                       ///< mean time of a step, while the group has work
    std::vector<std::uint32_t> slots_in_force; ///< empty while unknown
    std::uint64_t version_in_force{0};
};

} // namespace pomelohoist
