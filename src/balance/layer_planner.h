#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <span>
#include <vector>

/// Placement of experts where each layer waits for its most loaded rank.
namespace pomelohoist {

struct layer_plan_limits {
    std::uint32_t max_new{0}; ///< experts of a layer that one plan may add to a rank
    double least_gain{0.0};   ///< decrease of the largest load, relative to the mean, that one copy must bring
    double good_enough{0.0};  ///< largest load, relative to the mean, at which a layer is left alone

    friend bool operator==(const layer_plan_limits&, const layer_plan_limits&) = default;
};

/// Largest load of a rank relative to the mean, for each layer.
std::vector<double> layer_peaks(const expert_shape& shape, std::span<const std::uint32_t> slots,
                                std::span<const double> loads);

/// Lowers the largest load of a rank, layer by layer, by small changes from the present placement. A rank that is far
/// above the others in one layer costs time there, whatever its sum over the layers; `adaptive_balancer` evens the
/// sums.
/// @param slots experts in the order layer, rank, slot
/// @param loads expected tokens in the order layer, expert
/// @returns the new slots; equal to `slots` where no change pays
std::vector<std::uint32_t> plan_layers(const expert_shape& shape, std::span<const std::uint32_t> slots,
                                       std::span<const double> loads, const layer_plan_limits& limits);

} // namespace pomelohoist
