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
    this->filled.notify_all();
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
    this->filled.notify_all();
}

result<inner::ticket_state> ticket_canceller::cancel(const net_address& agent, const ticket& target, bool abort_running,
                                                     std::chrono::milliseconds timeout) {
    const auto reply = inner::call_datagram<inner::cancel_response>(
        this->calls, agent, inner::cancel_request{target, abort_running}, timeout);
    if (!reply) {
        return reply.last_error();
    }
    return reply->state;
}

void ticket_canceller::cancel_loop() {
    std::unique_lock lock{this->mutex};
    while (true) {
        this->filled.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (this->queue.empty()) {
            return;
        }
        const std::vector<inner::datagram_call> batch = std::exchange(this->queue, {});
        lock.unlock();
        // The time is short because one silent agent delays the cancels that are queued behind the batch.
        this->calls.call_all(batch, config::reserve_timeout);
        lock.lock();
    }
}

} // namespace pomelohoist
