#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace pomelohoist {

/// Counts requests in progress and lets no more in once it is closed. Safe for several threads.
class service_gate {
  public:
    /// @returns false when the gate is closed; otherwise `leave` must follow
    bool enter();
    void leave();
    void close();
    /// @returns true when nothing is in progress any more
    bool wait_idle(std::chrono::milliseconds timeout);
    /// Waits until the closed gate has refused nothing for `quiet`, at most `limit`.
    void wait_quiet(std::chrono::milliseconds quiet, std::chrono::milliseconds limit);
    [[nodiscard]] bool is_closed() const;
    [[nodiscard]] std::uint32_t active() const;

  private:
    mutable std::mutex mutex;
    std::condition_variable left;
    bool closed{false};
    std::uint32_t number{0};
    std::uint64_t refusals{0};
};

} // namespace pomelohoist
