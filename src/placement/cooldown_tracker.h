#pragma once

#include "placement/load_tracker.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <mutex>
#include <unordered_map>

/// Cooldowns of endpoints that have recently failed or refused a request. Thread-safe.
namespace pomelohoist {

class cooldown_tracker {
  public:
    explicit cooldown_tracker(const clock& time_source) : time(time_source) {}

    /// Starts a cooldown. Each further failure without a success in between doubles its duration, up to
    /// `config::max_endpoint_cooldown`.
    void record_failure(endpoint_digest endpoint);
    /// Starts a short cooldown: the endpoint is full or its group is broken at the moment.
    void record_refusal(endpoint_digest endpoint);
    /// Ends the cooldown and resets its duration.
    void record_success(endpoint_digest endpoint);
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
