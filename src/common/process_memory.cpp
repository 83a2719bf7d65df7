#include "common/process_memory.h"

#include <malloc.h>

namespace pomelohoist {

namespace {

// By default the C library makes up to eight pools for each processor, and what a thread frees stays in its pool.
constexpr int max_memory_pools = 4;
// Fixed, because by default the first large block that is freed raises the threshold up to 32 MB, and from then on
// large temporary blocks (snapshots, replies of the store) are taken from the pools and split them up.
constexpr int mapped_block_bytes = 128 * 1024;
// A fixed mapping threshold leaves this one at 128 KB, with which pools shrink and grow again all the time.
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
