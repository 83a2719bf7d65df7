#pragma once

#include <pomelohoist/clock.h>

#include <cstddef>
#include <optional>

/// How long requests may wait in line for a place.
namespace pomelohoist {

/// What a request bears.
struct wait_limits {
    steady_time longest;  ///< while the line is there for a short time only
    steady_time standing; ///< while it stands: early enough for an answer within the goal

    friend bool operator==(const wait_limits&, const wait_limits&) = default;
};

/// Answers lasting overload: a burst is served by waiting, but a line that does not empty makes every request as late
/// as its longest wait, and serves no more of them. When it stands, those that would be late are refused, and the
/// others are in time.
class queue_patience {
  public:
    /// Notes how many requests wait, after each change.
    void note_waiting(std::size_t waiting, steady_time now);
    /// @returns when a request that still waits is to be refused
    [[nodiscard]] steady_time give_up_at(const wait_limits& limits, steady_time now) const;

  private:
    std::optional<steady_time> waiting_since; ///< nothing while nobody waits
};

} // namespace pomelohoist
