#pragma once

#include "support/deployment.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Faults that a seeded schedule injects into a running deployment.
namespace pomelohoist::faults {

enum class fault : std::uint8_t {
    kill_agent,
    kill_endpoint,
    kill_entry,
    freeze_agent,
    freeze_endpoint,
    freeze_entry,
    store_down,
    store_slow,
    store_loses_responses,
    drain_endpoint,
    host_leaves,
    stop_agent,
    stop_entry,
    operators_race,
    cut_agent,
    count
};

/// @returns the name that reports print
std::string to_string(fault kind);

/// Starts the deployment that all schedules use: two entries, three model endpoints, two service endpoints.
/// @attention throws std::runtime_error when it does not start
void start_deployment(test_support::deployment& cluster);

/// @returns the journals of all stand-ins
std::vector<std::string> journals_of(test_support::deployment& cluster);
/// @returns the HTTP addresses of all entries
std::vector<net_address> entries_of(test_support::deployment& cluster);

/// Injects one fault and reverts it after some seconds.
/// @returns the name of the fault and its target, for the report
std::string inject(fault kind, test_support::deployment& cluster, std::mt19937_64& random);

} // namespace pomelohoist::faults
