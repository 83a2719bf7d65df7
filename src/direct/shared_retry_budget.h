#pragma once

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

/// Limits what all entries together send beyond the first send of each request.
namespace pomelohoist {

/// The deployment's bound on repeated sends to one service within any window.
struct retry_limits {
    double ratio{0.0}; ///< share of the callers' requests
    double slack{0.0}; ///< repeats beyond the share, of all entries together
    std::chrono::milliseconds window{10000};

    friend bool operator==(const retry_limits&, const retry_limits&) = default;
};

/// Answers a storm of failures: repeats must not multiply an overload. Each entry takes its part of the bound, by the
/// requests that it has seen and by the number of entries, so that no entry has to ask another. Safe for several
/// threads.
class shared_retry_budget {
  public:
    shared_retry_budget(const retry_limits& bound, const clock& time_source) : limits(bound), time(time_source) {}

    void note_request(const std::string& service);
    /// @param entries live entries of the deployment
    /// @returns true when one more repeat is allowed; it is then spent
    bool try_spend(const std::string& service, std::uint32_t entries);

  private:
    struct usage {
        std::deque<steady_time> requests;
        std::deque<steady_time> repeats;
    };

    void forget_old(usage& used) const;

    const retry_limits limits;
    const clock& time;
    std::mutex mutex;
    std::map<std::string, usage> services;
};

} // namespace pomelohoist
