#pragma once

#include "entry/answer_stream.h"
#include "entry/attempt_runner.h"
#include "entry/reserver.h"
#include "entry/response_sink.h"
#include "entry/retry_budget.h"
#include "entry/retry_state.h"

#include <optional>

/// Takes requests to an endpoint and the answer back.
namespace pomelohoist {

/// How a request was answered.
struct forward_outcome {
    std::optional<error_kind> failed; ///< nothing when the caller got the whole answer
    bool caller_gone{false};

    friend bool operator==(const forward_outcome&, const forward_outcome&) = default;
};

/// What all forwarders work with.
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

    /// Sends exactly one answer or failure to the caller.
    forward_outcome forward(const entry_request& request, response_sink& caller, const trace_context& parent);

  private:
    run_report run_once(const entry_request& request, const reservation& accepted, answer_stream& answer,
                        response_sink& caller, attempt_log& log, const trace_context& parent);

    const forward_services& services;
    counter& retries;
};

} // namespace pomelohoist
