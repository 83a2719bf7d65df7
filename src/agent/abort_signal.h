#pragma once

#include <functional>
#include <mutex>
#include <utility>

/// Ends a blocking call from another thread.
namespace pomelohoist {

class abort_signal {
  public:
    /// Ends the call that is attached now or later.
    void abort() {
        const std::lock_guard lock{this->mutex};
        this->aborted = true;
        if (this->closer) {
            this->closer();
        }
    }

    [[nodiscard]] bool is_aborted() const {
        const std::lock_guard lock{this->mutex};
        return this->aborted;
    }

    /// @param close_call makes the blocking call return; called at once when the signal was given already
    void attach(std::function<void()> close_call) {
        const std::lock_guard lock{this->mutex};
        this->closer = std::move(close_call);
        if (this->aborted) {
            this->closer();
        }
    }

    /// Waits for a closer that is running; it is not called afterwards.
    void detach() {
        const std::lock_guard lock{this->mutex};
        this->closer = nullptr;
    }

  private:
    mutable std::mutex mutex;
    bool aborted{false};
    std::function<void()> closer;
};

} // namespace pomelohoist
