#include "direct/queue_patience.h"

#include <pomelohoist/config.h>

#include <algorithm>

namespace pomelohoist {

void queue_patience::note_waiting(std::size_t waiting, steady_time now) {
    if (waiting == 0) {
        this->waiting_since.reset();
    } else if (!this->waiting_since) {
        this->waiting_since = now;
    }
}

steady_time queue_patience::give_up_at(const wait_limits& limits, steady_time now) const {
    const bool is_standing = this->waiting_since && now - *this->waiting_since > config::standing_line_time;
    return is_standing ? std::min(limits.longest, limits.standing) : limits.longest;
}

} // namespace pomelohoist
