#pragma once

/// Keeps the resident memory of a process close to what it uses.
namespace pomelohoist {

/// Settings of the allocator; called before the first thread starts.
void limit_memory_pools();

/// Returns free memory to the system. Takes some milliseconds.
void release_free_memory();

} // namespace pomelohoist
