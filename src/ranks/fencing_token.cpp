#include "ranks/fencing_token.h"

namespace pomelohoist {

std::uint64_t make_fencing_token(const store_revision& recorded_at) {
    // A restore loses the transactions of some seconds, far fewer than these. The sum stays small enough for the
    // versions of expert maps, which are multiples of the token.
    constexpr std::uint64_t max_lost_transactions = 1U << 24U;
    return recorded_at.era * max_lost_transactions + recorded_at.number;
}

} // namespace pomelohoist
