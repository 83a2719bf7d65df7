#pragma once

#include "direct/store_revision.h"

#include <cstdint>

namespace pomelohoist {

/// Makes a coordinator's fencing token from the revision at which the store recorded the coordinator.
/// @returns a token that is higher than those of all earlier revisions, also over a restore of the store
std::uint64_t make_fencing_token(const store_revision& recorded_at);

} // namespace pomelohoist
