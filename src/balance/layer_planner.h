#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

/// Placement of experts for groups in which each layer waits for its most loaded rank.
namespace pomelohoist {

struct layer_plan_limits {
    std::uint32_t max_new{0};      ///< experts of a layer that one plan may add to a rank
    double min_gain_per_copy{0.0}; ///< minimum decrease of the largest load for each copy, relative to the mean
    double acceptable_peak{0.0};   ///< largest load, relative to the mean, up to which a layer is not changed
    /// Experts of all layers that one plan may add to a rank. A rank copies one expert after another, so this bounds
    /// the time until the plan can be in force.
    std::uint32_t max_copies_per_rank{std::numeric_limits<std::uint32_t>::max()};

    friend bool operator==(const layer_plan_limits&, const layer_plan_limits&) = default;
};

struct layer_plan {
    std::vector<std::uint32_t> slots; ///< in the order layer, rank, slot
    std::uint32_t copies_per_rank{0}; ///< largest number of experts, of all layers, that are new to a rank

    friend bool operator==(const layer_plan&, const layer_plan&) = default;
};

/// @returns largest load of a rank relative to the mean, for each layer
std::vector<double> layer_peaks(const expert_shape& shape, std::span<const std::uint32_t> slots,
                                std::span<const double> loads);

/// Lowers the largest load of a rank in each layer by small changes of the current placement. A rank that is overloaded
/// in one layer delays that layer, even if its total over all layers is low; `adaptive_balancer` balances the totals.
/// @param slots experts in the order layer, rank, slot
/// @param loads expected tokens in the order layer, expert
/// @returns the plan; its slots are equal to `slots` where no change gains more than its cost
layer_plan plan_layers(const expert_shape& shape, std::span<const std::uint32_t> slots, std::span<const double> loads,
                       const layer_plan_limits& limits);

} // namespace pomelohoist
