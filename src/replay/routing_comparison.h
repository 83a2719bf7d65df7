#pragma once

#include "replay/request_run.h"

#include <cstdint>
#include <string>
#include <vector>

/// Comparison of the product's routing with its baselines over one request trace.
namespace pomelohoist {

/// @returns names of the routing policies, the product's first
const std::vector<std::string>& routing_policy_names();

/// @param names from `routing_policy_names`; the product asks for fresh offers, the others see late reports only
/// @param loads shares of the endpoints' capacity
/// @param seed of the random choices of the policies
std::vector<request_summary> compare_routing(const std::vector<request_record>& requests,
                                             const std::vector<std::string>& names, const std::vector<double>& loads,
                                             const endpoint_model_options& options, std::uint64_t seed);

} // namespace pomelohoist
