#pragma once

#include "direct/load_tracker.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <mutex>
#include <unordered_map>

/// Endpoints that have failed a short time ago. Safe for several threads.
namespace pomelohoist {

class endpoint_avoidance {
  public:
    explicit endpoint_avoidance(const clock& time_source) : time(time_source) {}

    /// Notes a failure; each one that follows soon doubles the time, up to a bound.
    void note_failure(endpoint_digest endpoint);
    /// Notes that the endpoint is full, or its group broken, for the moment.
    void note_refusal(endpoint_digest endpoint);
    void note_success(endpoint_digest endpoint);
    [[nodiscard]] bool in_cooldown(endpoint_digest endpoint) const;

  private:
    struct record {
        steady_time until{};
        std::chrono::milliseconds duration{0};
    };

    const clock& time;
    mutable std::mutex mutex;
    std::unordered_map<endpoint_digest, record> records;
};

} // namespace pomelohoist
