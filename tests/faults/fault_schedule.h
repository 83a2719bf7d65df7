#pragma once

#include "support/deployment.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Faults that are injected into a running deployment, chosen by a seed.
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
    store_loses_answers,
    drain_endpoint,
    host_leaves,
    stop_agent,
    stop_entry,
    operators_race,
    cut_agent,
    count
};

/// @returns the name as printed
std::string to_string(fault kind);

/// The deployment that all schedules use: two entries, three model endpoints, two service endpoints.
/// @attention throws std::runtime_error when it does not start
void start_deployment(test_support::deployment& all);

/// @returns the journals of all stand-ins
std::vector<std::string> journals_of(test_support::deployment& all);
/// @returns the addresses of all entries for callers
std::vector<net_address> entries_of(test_support::deployment& all);

/// Injects one fault and heals it again; takes some seconds.
/// @returns a line for the report
std::string inject(fault kind, test_support::deployment& all, std::mt19937_64& random);

} // namespace pomelohoist::faults
