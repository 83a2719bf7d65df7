#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace pomelohoist {

/// Counts requests in progress and refuses new requests once the gate is closed. Safe for several threads.
class service_gate {
  public:
    /// @returns false when the gate is closed; otherwise `leave` must follow
    bool enter();
    void leave();
    void close();
    /// Waits until no request is in progress.
    /// @returns false when the timeout passed first
    bool wait_idle(std::chrono::milliseconds timeout);
    /// Waits until the closed gate has refused no request for a period of `quiet`, but not longer than `limit`.
    void wait_quiet(std::chrono::milliseconds quiet, std::chrono::milliseconds limit);
    [[nodiscard]] bool is_closed() const;
    [[nodiscard]] std::uint32_t active() const;

  private:
    mutable std::mutex mutex;
    std::condition_variable request_ended;
    bool closed{false};
    std::uint32_t active_requests{0};
    std::uint64_t refusals{0};
};

} // namespace pomelohoist
