#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <span>
#include <vector>

/// Placement of all experts that disregards the current map.
namespace pomelohoist {

/// Assigns surplus slots to the experts with the most load per replica. Then places the replicas in descending order of
/// load, each on the rank with the earliest expected finish, including the load of the preceding layers.
/// @param loads expected tokens in the order layer, expert
/// @param speeds speed of each rank
/// @returns slots in the order layer, rank, slot
std::vector<std::uint32_t> pack_experts(const expert_shape& shape, std::span<const double> loads,
                                        std::span<const double> speeds);

} // namespace pomelohoist
