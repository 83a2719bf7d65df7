#include "platform/circuit_breaker.h"

namespace pomelohoist {

// Without a breaker, each call to a slow store waits for the store's timeout (decision in ADR 0035). With eight callers
// that each pause for 50 ms between their calls and a store that responds after 2 s, the breaker reduces the mean wait
// from 1006 ms to 17 ms (test in tests/platform/circuit_breaker_test.cpp).

circuit_breaker::circuit_breaker(const clock& time_source, std::uint32_t failures,
                                 std::chrono::milliseconds open_duration)
    : time(time_source), max_failures(failures), open_time(open_duration) {}

void circuit_breaker::enter(state next) {
    this->current = next;
    this->consecutive_failures = 0;
    this->changed_at = this->time.now();
    ++this->generation;
}

std::optional<breaker_permit> circuit_breaker::try_acquire() {
    const std::lock_guard lock{this->mutex};
    if (this->current != state::closed) {
        // Permits a new probe after another open time. Otherwise the breaker would stay open when the result
        // of a probe is never reported.
        if (this->time.now() - this->changed_at < this->open_time) {
            return std::nullopt;
        }
        this->enter(state::probing);
    }
    return breaker_permit{this->generation};
}

void circuit_breaker::report(const breaker_permit& permit, bool succeeded) {
    const std::lock_guard lock{this->mutex};
    if (permit.generation != this->generation) {
        return;
    }
    if (this->current == state::probing) {
        this->enter(succeeded ? state::closed : state::open);
        return;
    }
    this->consecutive_failures = succeeded ? 0 : this->consecutive_failures + 1;
    if (this->consecutive_failures >= this->max_failures) {
        this->enter(state::open);
    }
}

bool circuit_breaker::is_open() const {
    const std::lock_guard lock{this->mutex};
    return this->current != state::closed;
}

} // namespace pomelohoist
