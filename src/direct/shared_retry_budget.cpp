#include "direct/shared_retry_budget.h"

#include <algorithm>

namespace pomelohoist {

namespace {

// The entries' views of each other lag, and a window of the judge may lie across two of ours.
constexpr double used_part = 0.7;

} // namespace

void shared_retry_budget::forget_old(usage& used) const {
    const steady_time oldest = this->time.now() - this->limits.window;
    for (std::deque<steady_time>* times : {&used.requests, &used.repeats}) {
        while (!times->empty() && times->front() < oldest) {
            times->pop_front();
        }
    }
}

void shared_retry_budget::note_request(const std::string& service) {
    const std::lock_guard lock{this->mutex};
    usage& used = this->services[service];
    this->forget_old(used);
    used.requests.push_back(this->time.now());
}

bool shared_retry_budget::try_spend(const std::string& service, std::uint32_t entries) {
    const std::lock_guard lock{this->mutex};
    usage& used = this->services[service];
    this->forget_old(used);
    const double share = this->limits.ratio * static_cast<double>(used.requests.size());
    const double slack = this->limits.slack / std::max(entries, 1U);
    if (static_cast<double>(used.repeats.size()) + 1.0 > used_part * (share + slack)) {
        return false;
    }
    used.repeats.push_back(this->time.now());
    return true;
}

} // namespace pomelohoist
