#pragma once

#include <pomelohoist/clock.h>

#include <chrono>
#include <mutex>
#include <string>
#include <unordered_map>

namespace pomelohoist {

/// Remembers by name which endpoints lately failed or refused as draining. Safe for several threads.
class cooldown_list {
  public:
    explicit cooldown_list(const clock& time_source) : time(time_source) {}

    void start_cooldown(const std::string& endpoint_name, std::chrono::milliseconds duration);
    void clear(const std::string& endpoint_name);
    [[nodiscard]] bool in_cooldown(const std::string& endpoint_name) const;

  private:
    const clock& time;
    mutable std::mutex mutex;
    std::unordered_map<std::string, steady_time> until;
};

} // namespace pomelohoist
