#include "entry/ticket_canceller.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

ticket_canceller::ticket_canceller(inner::datagram_endpoint& endpoint)
    : calls(endpoint), thread([this] { this->cancel_loop(); }) {}

ticket_canceller::~ticket_canceller() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->work_added.notify_all();
    this->thread.join();
}

void ticket_canceller::cancel_later(const net_address& agent, const ticket& target, bool abort_running) {
    {
        const std::lock_guard lock{this->mutex};
        if (this->queue.size() >= config::max_pending_datagrams) {
            return;
        }
        this->queue.push_back({agent, inner::to_payload(inner::cancel_request{target, abort_running})});
    }
    this->work_added.notify_all();
}

result<inner::ticket_state> ticket_canceller::cancel(const net_address& agent, const ticket& target, bool abort_running,
                                                     std::chrono::milliseconds timeout) {
    const auto response = inner::call_datagram<inner::cancel_response>(
        this->calls, agent, inner::cancel_request{target, abort_running}, timeout);
    if (!response) {
        return response.last_error();
    }
    return response->state;
}

void ticket_canceller::cancel_loop() {
    std::unique_lock lock{this->mutex};
    while (true) {
        this->work_added.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (this->queue.empty()) {
            return;
        }
        const std::vector<inner::datagram_call> batch = std::exchange(this->queue, {});
        lock.unlock();
        // The timeout is short, because one unresponsive agent delays the cancellations queued behind the batch.
        this->calls.call_all(batch, config::reserve_timeout);
        lock.lock();
    }
}

} // namespace pomelohoist
