#pragma once

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

/// Limits the retries of all entries together.
namespace pomelohoist {

/// The deployment's limit of retries to one service within any period of length `window`.
struct retry_limits {
    double ratio{0.0}; ///< retries allowed for each request of a caller
    double slack{0.0}; ///< retries allowed beyond the ratio, of all entries together
    std::chrono::milliseconds window{10000};

    friend bool operator==(const retry_limits&, const retry_limits&) = default;
};

/// Prevents retry storms: retries must not multiply an overload. Each entry uses its own part of the limit, computed
/// from the requests that it has received and the number of entries, so that no entry has to query another.
/// Thread-safe.
class shared_retry_budget {
  public:
    shared_retry_budget(const retry_limits& bound, const clock& time_source) : limits(bound), time(time_source) {}

    void record_request(const std::string& service);
    /// Spends one retry when the budget allows it.
    /// @param entries number of live entries of the deployment
    /// @returns true when the retry is allowed
    bool try_spend(const std::string& service, std::uint32_t entries);

  private:
    struct usage {
        std::deque<steady_time> requests;
        std::deque<steady_time> retries;
    };

    void drop_expired(usage& used) const;

    const retry_limits limits;
    const clock& time;
    std::mutex mutex;
    std::map<std::string, usage> services;
};

} // namespace pomelohoist
