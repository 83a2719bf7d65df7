#include "common/process_memory.h"

#include <malloc.h>

namespace pomelohoist {

namespace {

// By default the C library creates up to eight arenas per processor, and memory that a thread frees stays in its arena.
constexpr int max_memory_pools = 4;
// Size from which blocks are mapped instead of allocated in an arena: 128 KB, fixed. By default, freeing a mapped block
// raises this threshold, up to 32 MB; large temporary blocks (snapshots, responses of the store) are then allocated in
// the arenas and fragment them.
constexpr int mapped_block_bytes = 128 * 1024;
// Free memory that an arena keeps (trim threshold): 4 MB. If only the mapping threshold were fixed, the trim threshold
// would stay at 128 KB, and the arenas would shrink and grow continually.
constexpr int kept_free_bytes = 4 * 1024 * 1024;

} // namespace

void limit_memory_pools() {
    mallopt(M_ARENA_MAX, max_memory_pools);
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
}

void release_free_memory() {
    malloc_trim(0);
}

} // namespace pomelohoist
