#pragma once

#include <pomelohoist/expert_balance.h>

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

/// Estimates the load of the experts where it stays constant for some seconds and then changes at once.
namespace pomelohoist {

using seconds_span = std::chrono::duration<double>;

/// Current load of the experts of a group, from rounds of counts. An average over time would mix two loads after each
/// change; here the estimate of a layer restarts with the first round that differs from it.
/// @attention used by one thread
class load_shift_detector {
  public:
    /// @param group_shape shape of the group
    /// @param averaging_time time in which older rounds lose most of their weight, while the load does not change
    /// @param first_life expected time between two changes, until changes were seen
    load_shift_detector(const expert_shape& group_shape, seconds_span averaging_time, seconds_span first_life);

    /// Adds a round.
    /// @param selections how often each expert was selected in the round, in the order layer, expert
    /// @param elapsed duration of the round
    void add(std::span<const double> selections, seconds_span elapsed);
    /// @returns selections of each expert, in the order layer, expert; only their proportions in a layer have a meaning
    [[nodiscard]] const std::vector<double>& loads() const { return this->estimate; }
    /// @returns false when the last round showed a change, but too little of the new load to estimate it
    [[nodiscard]] bool is_settled() const { return this->unsettled_rounds == 0; }
    /// @returns expected time until the load changes again
    [[nodiscard]] seconds_span remaining_life() const;
    /// @returns time since the last change
    [[nodiscard]] seconds_span age() const { return this->current_age; }

  private:
    enum class layer_outcome : std::uint8_t { unchanged, changed, unsettled, count };

    layer_outcome add_layer(std::span<double> layer, std::span<const double> round, double decay) const;
    void record_change();

    expert_shape shape;
    seconds_span window;
    seconds_span mean_life;
    seconds_span current_age{0.0};
    std::uint32_t unsettled_rounds{0}; ///< consecutive
    /// Selections since the last comparison with the estimate; short rounds of a calm group are compared together.
    std::vector<double> pending;
    seconds_span pending_time{0.0};
    std::vector<double> estimate;
};

} // namespace pomelohoist
