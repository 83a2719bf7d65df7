#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// How often the processes of a deployment send each other updates. The intervals grow with the number of processes, so
/// that the datagrams that a process receives per second stay bounded.
namespace pomelohoist {

/// @param entries number of live entries
/// @returns shortest time between two load updates of an entry
std::chrono::milliseconds load_update_interval(std::size_t entries);

/// @param processes number of known processes
/// @returns time between two updates of a rank process to everyone
std::chrono::milliseconds rank_update_interval(std::size_t processes);

/// @returns true for the ranks that may soon coordinate a group. They exchange updates with the whole group every
/// second; the other ranks of a large group do so only with these.
bool is_succession_candidate(std::uint32_t rank);

} // namespace pomelohoist
