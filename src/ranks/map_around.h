#pragma once

#include "ranks/rank_engine.h"

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Completes the experts of one rank to a valid map, for a `prepare` command that copies nothing at that rank.
namespace pomelohoist {

/// @param held experts of the rank
/// @returns experts in the order layer, rank, slot; nothing when the experts do not fit the shape
std::optional<std::vector<std::uint16_t>> map_around(const expert_shape& shape, std::uint32_t rank,
                                                     const rank_experts& held);

} // namespace pomelohoist
