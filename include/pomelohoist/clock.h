#pragma once

#include <chrono>

/// Time as an interface, so that tests can control it.
namespace pomelohoist {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

class clock {
  public:
    virtual ~clock() = default;
    /// @returns monotonic time, for lifetimes and latencies
    [[nodiscard]] virtual steady_time now() const = 0;
    /// @returns wall time, for logs and spans only
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// The clock of the operating system.
class system_clock : public clock {
  public:
    [[nodiscard]] steady_time now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// A clock for tests; its time advances only by `advance`.
class manual_clock : public clock {
  public:
    [[nodiscard]] steady_time now() const override { return steady_time{this->elapsed}; }
    [[nodiscard]] wall_time wall_now() const override { return wall_time{this->elapsed}; }
    void advance(std::chrono::nanoseconds step) { this->elapsed += std::chrono::duration_cast<duration>(step); }

  private:
    using duration = std::chrono::steady_clock::duration;
    duration elapsed{};
};

} // namespace pomelohoist
