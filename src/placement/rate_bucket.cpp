#include "placement/rate_bucket.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <chrono>

namespace pomelohoist {

rate_bucket::rate_bucket(double limit_per_s, steady_time now)
    : rate_per_s(std::max(limit_per_s, config::least_probe_rate)), refilled_at(now) {}

double rate_bucket::tokens_at(steady_time now) const {
    const std::chrono::duration<double> elapsed = now - this->refilled_at;
    const std::chrono::duration<double> burst = config::rate_limit_burst;
    const double most = std::max(1.0, this->rate_per_s * burst.count());
    return std::min(this->tokens + std::max(elapsed.count(), 0.0) * this->rate_per_s, most);
}

void rate_bucket::set_limit(double limit_per_s, steady_time now) {
    this->take(0.0, now);
    this->rate_per_s = std::max(limit_per_s, config::least_probe_rate);
}

void rate_bucket::take(double requests, steady_time now) {
    this->tokens = this->tokens_at(now) - requests;
    this->refilled_at = now;
}

bool rate_bucket::has_room(steady_time now) const {
    return this->tokens_at(now) >= 1.0;
}

} // namespace pomelohoist
