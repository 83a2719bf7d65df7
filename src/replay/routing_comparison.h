#pragma once

#include "replay/request_run.h"

#include <cstdint>
#include <string>
#include <vector>

/// Compares the routing policy of the product with baseline policies over one request trace.
namespace pomelohoist {

/// @returns names of the routing policies, the product's first
const std::vector<std::string>& routing_policy_names();

/// @param names from `routing_policy_names`; the product's policy requests current offers, the others use delayed
/// load reports only
/// @param loads offered loads, as shares of the endpoints' capacity
/// @param seed seed for the random choices of the policies
std::vector<request_summary> compare_routing(const std::vector<request_record>& requests,
                                             const std::vector<std::string>& names, const std::vector<double>& loads,
                                             const endpoint_model_options& options, std::uint64_t seed);

} // namespace pomelohoist
