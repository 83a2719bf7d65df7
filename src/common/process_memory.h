#pragma once

/// Settings of the C library's allocator that keep resident memory close to the memory in use.
namespace pomelohoist {

/// Limits the allocator's arenas and the free memory that it retains.
/// @attention call it before the first thread starts
void limit_memory_pools();

/// Returns free memory to the operating system. Blocks for some milliseconds.
void release_free_memory();

} // namespace pomelohoist
