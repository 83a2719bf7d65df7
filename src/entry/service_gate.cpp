#include "entry/service_gate.h"

#include <thread>

namespace pomelohoist {

bool service_gate::enter() {
    const std::lock_guard lock{this->mutex};
    if (this->closed) {
        ++this->refusals;
        return false;
    }
    ++this->active_requests;
    return true;
}

void service_gate::leave() {
    const std::lock_guard lock{this->mutex};
    --this->active_requests;
    this->request_ended.notify_all();
}

void service_gate::close() {
    const std::lock_guard lock{this->mutex};
    this->closed = true;
}

bool service_gate::wait_idle(std::chrono::milliseconds timeout) {
    std::unique_lock lock{this->mutex};
    return this->request_ended.wait_for(lock, timeout, [this] { return this->active_requests == 0; });
}

void service_gate::wait_quiet(std::chrono::milliseconds quiet, std::chrono::milliseconds limit) {
    std::unique_lock lock{this->mutex};
    for (auto waited = quiet; waited <= limit; waited += quiet) {
        const std::uint64_t seen = this->refusals;
        lock.unlock();
        std::this_thread::sleep_for(quiet);
        lock.lock();
        if (this->refusals == seen) {
            return;
        }
    }
}

bool service_gate::is_closed() const {
    const std::lock_guard lock{this->mutex};
    return this->closed;
}

std::uint32_t service_gate::active() const {
    const std::lock_guard lock{this->mutex};
    return this->active_requests;
}

} // namespace pomelohoist
