#include "placement/cold_start_limit.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <cmath>

namespace pomelohoist {

std::chrono::duration<double> cold_request_interval(double per_s, const cold_bound& bound, std::uint32_t entries) {
    const double shares = std::max(entries, 1U);
    double share = per_s / shares;
    // All entries may send their first request at the same time. With r requests per second at even intervals, an entry
    // sends at most the next whole number above r in one second, and the sum of these must not exceed the bound.
    const double most_in_one_second = std::floor((per_s * bound.excess + bound.slack) / shares);
    if (most_in_one_second >= 1.0) {
        share = std::min(share, most_in_one_second);
    }
    return std::chrono::duration<double>{1.0 / share};
}

bool cold_start_limit::has_room(std::uint64_t incarnation, const cold_rate& declared,
                                std::chrono::milliseconds stated_left, std::uint32_t entries) {
    if (this->bound.excess <= 0.0 || declared.per_s <= 0.0) {
        return true;
    }
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    const auto [found, is_first] =
        this->endpoints.try_emplace(incarnation, known_endpoint{now + declared.duration, now, std::nullopt});
    known_endpoint& endpoint = found->second;
    endpoint.used_at = now;
    if (is_first) {
        this->drop_old(now);
    }
    if (now >= std::max(endpoint.cold_until, now + stated_left)) {
        return true;
    }
    return !endpoint.last_request ||
           now - *endpoint.last_request >= cold_request_interval(declared.per_s, this->bound, entries);
}

void cold_start_limit::record_request(std::uint64_t incarnation) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->endpoints.find(incarnation);
    if (found != this->endpoints.end()) {
        found->second.last_request = this->time.now();
    }
}

void cold_start_limit::forget(std::uint64_t incarnation) {
    const std::lock_guard lock{this->mutex};
    this->endpoints.erase(incarnation);
}

void cold_start_limit::drop_old(steady_time now) {
    std::erase_if(this->endpoints,
                  [now](const auto& each) { return now - each.second.used_at > config::limit_memory; });
}

} // namespace pomelohoist
