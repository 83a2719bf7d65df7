#pragma once

#include "capacity/sections.h"
#include "support/deployment.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Declarations of any size, and queries to running processes.
namespace pomelohoist::capacity {

/// Bearer key of the workspace "team".
extern const std::string team_key;

/// @returns a deployment in an empty folder
test_support::deployment make_deployment(const run_folders& folders, const std::string& name);
/// @returns declarations of workspace "team", applications "drafts" and "desk", and selectors that let them reach every
/// endpoint
std::string base_declarations();
/// @returns declarations of the workspaces `first` to `last` - 1
std::string declare_workspaces(std::size_t first, std::size_t last);
/// @returns declarations of the endpoints `first` to `last` - 1, whose agents have loopback addresses on which no
/// process listens
std::string declare_endpoints(std::size_t first, std::size_t last);
/// Writes the declarations to a file and applies the file without waiting for confirmations, since most declared agents
/// do not run.
void apply_file(test_support::deployment& cluster, const std::string& declarations);

/// @returns the configuration version in force in the process, 0 when the process does not respond or has none
std::uint64_t version_of(const net_address& process);
/// Waits until all processes have the version or a higher one.
/// @returns the time in milliseconds
/// @attention throws std::runtime_error after 30 s
double wait_for_version(const std::vector<net_address>& processes, std::uint64_t version);

/// Number of reads and writes of the store for rows with one key prefix.
struct store_access {
    double reads{0.0};
    double writes{0.0};

    friend bool operator==(const store_access&, const store_access&) = default;
};
/// @returns accesses since the start of the store, by key prefix; the key "" has the sum
std::map<std::string, store_access> read_store_accesses(const net_address& platform);

} // namespace pomelohoist::capacity
