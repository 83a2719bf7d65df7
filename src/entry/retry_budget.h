#pragma once

#include "common/random_source.h"

#include <pomelohoist/config.h>

#include <chrono>
#include <cstdint>
#include <mutex>

namespace pomelohoist {

/// Limits retries to a share of the requests, so that retries cannot multiply an overload. Safe for several threads.
class retry_budget {
  public:
    explicit retry_budget(random_source& source) : random(source) {}

    /// Adds one request's share to the budget.
    void record_request();
    /// @returns true when another retry is allowed, which is then deducted from the budget
    bool try_spend();
    /// @param retry 1 for the first retry
    /// @returns a delay with full jitter: uniform between zero and the exponential bound
    std::chrono::milliseconds backoff(std::uint32_t retry);

  private:
    random_source& random;
    std::mutex mutex;
    double tokens{config::retry_budget_reserve};
};

} // namespace pomelohoist
