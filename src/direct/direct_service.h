#pragma once

#include "direct/direct_forwarder.h"

#include <atomic>

/// Serves callers' requests by direct forwarding, from the header to the last byte of the response.
namespace pomelohoist {

class direct_service {
  public:
    direct_service(const forwarding_parts& shared_parts, const routing_state& current_state);

    void serve(const raw_request& raw, steady_time arrived, response_sink& sink, caller_connection_monitor& caller);
    /// Sends an error response to a request that could not be read or resolved, or that arrived after `refuse_all`.
    void refuse(const raw_request& raw, const failure& reason, response_sink& sink);
    [[nodiscard]] std::uint32_t active() const { return this->in_progress; }
    /// Refuses all further requests; called when such requests may not end before the process stops.
    void refuse_all() { this->is_refusing = true; }

  private:
    void record_outcome(const direct_request& request, const forwarding_outcome& outcome);

    const forwarding_parts& parts;
    const routing_state& state;
    request_resolver resolver;
    std::atomic<std::uint32_t> in_progress{0};
    std::atomic<bool> is_refusing{false};
};

} // namespace pomelohoist
