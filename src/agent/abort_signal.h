#pragma once

#include <functional>
#include <mutex>
#include <utility>

/// Cancellation of a blocking call from another thread.
namespace pomelohoist {

class abort_signal {
  public:
    /// Aborts the attached call and every call that is attached later.
    void abort() {
        const std::lock_guard lock{this->mutex};
        this->aborted = true;
        if (this->on_abort) {
            this->on_abort();
        }
    }

    [[nodiscard]] bool is_aborted() const {
        const std::lock_guard lock{this->mutex};
        return this->aborted;
    }

    /// @param callback makes the blocking call return; runs immediately if the signal is already aborted
    void attach(std::function<void()> callback) {
        const std::lock_guard lock{this->mutex};
        this->on_abort = std::move(callback);
        if (this->aborted) {
            this->on_abort();
        }
    }

    /// Waits for a running callback. The callback is not called after this function returns.
    void detach() {
        const std::lock_guard lock{this->mutex};
        this->on_abort = nullptr;
    }

  private:
    mutable std::mutex mutex;
    bool aborted{false};
    std::function<void()> on_abort;
};

} // namespace pomelohoist
