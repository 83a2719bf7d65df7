#pragma once

#include "inner/datagram_endpoint.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace pomelohoist {

/// Cancels tickets in the background, so that no request waits for the responses. Uses one thread.
class ticket_canceller {
  public:
    explicit ticket_canceller(inner::datagram_endpoint& endpoint);
    ~ticket_canceller();
    ticket_canceller(const ticket_canceller&) = delete;
    ticket_canceller& operator=(const ticket_canceller&) = delete;

    /// Cancels in the background.
    /// @param abort_running also stops a run that has started (idempotent requests only)
    /// @attention best effort: a ticket whose cancellation is lost, or dropped because the queue is full, expires at
    /// its agent
    void cancel_later(const net_address& agent, const ticket& target, bool abort_running);

    /// Cancels and waits for the response.
    /// @returns the state of the ticket, or `timeout` when the agent does not respond
    result<inner::ticket_state> cancel(const net_address& agent, const ticket& target, bool abort_running,
                                       std::chrono::milliseconds timeout);

  private:
    void cancel_loop();

    inner::datagram_endpoint& calls;
    std::mutex mutex;
    std::condition_variable work_added;
    bool stopping{false};
    std::vector<inner::datagram_call> queue;
    std::thread thread;
};

} // namespace pomelohoist
