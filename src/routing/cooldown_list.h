#pragma once

#include <pomelohoist/clock.h>

#include <chrono>
#include <mutex>
#include <string>
#include <unordered_map>

namespace pomelohoist {

/// Cooldowns, by endpoint name, of endpoints that recently failed, or refused a request because they were draining.
/// Safe for several threads.
class cooldown_list {
  public:
    explicit cooldown_list(const clock& time_source) : time(time_source) {}

    /// Starts a cooldown, or extends the cooldown in progress; never shortens it.
    void start_cooldown(const std::string& endpoint_name, std::chrono::milliseconds duration);
    void clear(const std::string& endpoint_name);
    [[nodiscard]] bool in_cooldown(const std::string& endpoint_name) const;

  private:
    const clock& time;
    mutable std::mutex mutex;
    std::unordered_map<std::string, steady_time> cooldown_ends;
};

} // namespace pomelohoist
