#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <span>
#include <vector>

/// Packing of all experts from scratch.
namespace pomelohoist {

/// Gives surplus slots to the experts with the most load for each replica, then places the replicas in descending
/// order of load on the rank that would finish first, counting the layers before.
/// @param loads expected tokens in the order layer, expert
/// @param speeds speed of each rank
/// @returns slots in the order layer, rank, slot
std::vector<std::uint32_t> pack_experts(const expert_shape& shape, std::span<const double> loads,
                                        std::span<const double> speeds);

} // namespace pomelohoist
