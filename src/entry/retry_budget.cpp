#include "entry/retry_budget.h"

#include <algorithm>

namespace pomelohoist {

void retry_budget::record_request() {
    const std::lock_guard lock{this->mutex};
    // The cap is large enough to retry all streams that break at once when one of a few endpoints fails.
    this->tokens = std::min(this->tokens + config::retry_budget_share, config::retry_budget_cap);
}

bool retry_budget::try_spend() {
    const std::lock_guard lock{this->mutex};
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

std::chrono::milliseconds retry_budget::backoff(std::uint32_t retry) {
    constexpr std::uint32_t max_doublings = 10;
    const std::uint32_t doublings = std::min(retry == 0 ? 0 : retry - 1, max_doublings);
    const std::int64_t bound =
        std::min<std::int64_t>(config::retry_backoff_base.count() << doublings, config::retry_backoff_cap.count());
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(this->random.next_fraction() * static_cast<double>(bound))};
}

} // namespace pomelohoist
