#pragma once

#include <pomelohoist/clock.h>
#include <pomelohoist/config.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

/// Circuit breaker that opens after consecutive failures.
namespace pomelohoist {

/// Permission for one call. The generation identifies the state of the breaker in which the call was permitted.
struct breaker_permit {
    std::uint64_t generation{0};

    friend bool operator==(const breaker_permit&, const breaker_permit&) = default;
};

/// Opens after a number of consecutive failures. Safe for several threads.
class circuit_breaker {
  public:
    explicit circuit_breaker(const clock& time_source, std::uint32_t failures = config::breaker_failures,
                             std::chrono::milliseconds open_duration = config::breaker_open_time);

    /// @returns a permit, or nothing while the breaker is open; after the open time a single caller receives a permit
    /// for a probe
    std::optional<breaker_permit> try_acquire();
    /// Reports the result of a permitted call. Results of calls permitted in an earlier state are ignored.
    void report(const breaker_permit& permit, bool succeeded);
    [[nodiscard]] bool is_open() const;

  private:
    enum class state : std::uint8_t { closed, open, probing, count };

    void enter(state next);

    const clock& time;
    std::uint32_t max_failures;
    std::chrono::milliseconds open_time;
    mutable std::mutex mutex;
    state current{state::closed};
    std::uint64_t generation{0};
    std::uint32_t consecutive_failures{0};
    steady_time changed_at{};
};

} // namespace pomelohoist
