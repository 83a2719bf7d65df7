#include "placement/shared_retry_budget.h"

#include <algorithm>

namespace pomelohoist {

namespace {

// Share of the limit that entries use. They must not use all of it: the number of live entries that an entry counts
// lags behind the true number, and the window in which the limit must hold may overlap two windows of this budget.
constexpr double usable_share = 0.7;

} // namespace

void shared_retry_budget::drop_expired(usage& used) const {
    const steady_time oldest = this->time.now() - this->limits.window;
    for (std::deque<steady_time>* times : {&used.requests, &used.retries}) {
        while (!times->empty() && times->front() < oldest) {
            times->pop_front();
        }
    }
}

void shared_retry_budget::record_request(const std::string& service) {
    const std::lock_guard lock{this->mutex};
    usage& used = this->services[service];
    this->drop_expired(used);
    used.requests.push_back(this->time.now());
}

bool shared_retry_budget::try_spend(const std::string& service, std::uint32_t entries) {
    const std::lock_guard lock{this->mutex};
    usage& used = this->services[service];
    this->drop_expired(used);
    const double ratio_part = this->limits.ratio * static_cast<double>(used.requests.size());
    const double slack_part = this->limits.slack / std::max(entries, 1U);
    if (static_cast<double>(used.retries.size()) + 1.0 > usable_share * (ratio_part + slack_part)) {
        return false;
    }
    used.retries.push_back(this->time.now());
    return true;
}

} // namespace pomelohoist
