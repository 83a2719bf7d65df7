#pragma once

#include "entry/attempt_runner.h"
#include "entry/reserver.h"
#include "entry/response_sink.h"
#include "entry/response_stream.h"
#include "entry/retry_budget.h"
#include "entry/retry_state.h"

#include <optional>

/// Forwards requests to endpoints and their responses to callers.
namespace pomelohoist {

/// How the handling of a request ended.
struct forward_outcome {
    std::optional<error_kind> failed; ///< nothing when the complete response was sent
    bool caller_disconnected{false};

    friend bool operator==(const forward_outcome&, const forward_outcome&) = default;
};

/// Services shared by all forwarders.
struct forward_services {
    const daemon_context& context;
    reserver& tickets;
    attempt_runner& runner;
    ticket_canceller& canceller;
    retry_budget& budget;
};

/// Forwards requests without an idempotency key.
class forwarder {
  public:
    explicit forwarder(const forward_services& shared);

    /// Sends exactly one response or failure to the caller.
    forward_outcome forward(const entry_request& request, response_sink& caller, const trace_context& parent);

  private:
    run_report run_once(const entry_request& request, const reservation& accepted, response_stream& response,
                        response_sink& caller, attempt_log& log, const trace_context& parent);

    const forward_services& services;
    counter& retries;
};

} // namespace pomelohoist
