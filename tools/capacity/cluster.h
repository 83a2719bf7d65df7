#pragma once

#include "capacity/sections.h"
#include "support/deployment.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Declarations of any size, and questions to running processes.
namespace pomelohoist::capacity {

/// Bearer key of the workspace "team".
extern const std::string team_key;

/// @returns a deployment in an empty folder
test_support::deployment make_deployment(const workplace& place, const std::string& name);
/// @returns workspace "team", applications "drafts" and "desk", and selectors that let them reach every endpoint
std::string base_declarations();
/// @returns workspaces first to last - 1
std::string declare_workspaces(std::size_t first, std::size_t last);
/// @returns endpoints first to last - 1, with agents on loopback addresses that nobody listens on
std::string declare_endpoints(std::size_t first, std::size_t last);
/// Writes the declarations to a file and applies it without waiting for confirmations, since most declared agents do
/// not run.
void apply_file(test_support::deployment& all, const std::string& declarations);

/// @returns version in force in the process, 0 when it does not answer or has none
std::uint64_t version_of(const net_address& process);
/// @returns milliseconds until all processes have the version or a higher one
/// @attention throws std::runtime_error after 30 s
double wait_for_version(const std::vector<net_address>& processes, std::uint64_t version);

/// Reads and writes of the store by prefix of the row.
struct store_access {
    double reads{0.0};
    double writes{0.0};

    friend bool operator==(const store_access&, const store_access&) = default;
};
/// @returns accesses so far; the key "" holds the sum
std::map<std::string, store_access> read_store_accesses(const net_address& platform);

} // namespace pomelohoist::capacity
