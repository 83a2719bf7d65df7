#pragma once

#include "common/daemon.h"
#include "entry/attempt_log.h"
#include "entry/caller_monitor.h"
#include "entry/reserver.h"
#include "entry/run_connection.h"
#include "entry/suspect_reporter.h"
#include "entry/ticket_canceller.h"

namespace pomelohoist {

/// One attempt at a request, with the consumer of its response.
struct attempt {
    const entry_request& request;
    const reservation& reserved;
    run_consumer& consumer;
    response_sink& caller;
    attempt_log& log;
    trace_context parent;
    std::string body;          ///< sent to the endpoint
    bool keep_response{false}; ///< the agent stores the response for `outcome_request`
};

/// Runs a ticket and, when the run ended without a complete response, determines whether the request may have run.
class attempt_runner {
  public:
    attempt_runner(const daemon_context& process, std::string process_name, configuration_source& source,
                   cooldown_list& endpoint_cooldowns, ticket_canceller& cancels, suspect_reporter& reporter,
                   caller_monitor& monitor);

    /// @attention the reservation must have been recorded in the log
    run_report run(const attempt& current);

  private:
    run_report run_connected(const attempt& current, const trace_context& span);
    void record_added_latency(const attempt& current);
    void handle_failure(const attempt& current, const run_report& report);
    void handle_broken_run(const attempt& current, const run_report& report);

    const daemon_context& context;
    std::string name;
    configuration_source& configurations;
    cooldown_list& cooldowns;
    ticket_canceller& canceller;
    suspect_reporter& suspects;
    caller_monitor& callers;
    latency_histogram& added_latency; ///< in ms, from the caller's header to the run message of the first attempt
};

} // namespace pomelohoist
