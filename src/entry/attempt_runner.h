#pragma once

#include "common/daemon.h"
#include "entry/attempt_log.h"
#include "entry/caller_watch.h"
#include "entry/reserver.h"
#include "entry/run_connection.h"
#include "entry/suspect_reporter.h"
#include "entry/ticket_canceller.h"

namespace pomelohoist {

/// One attempt with its consumer.
struct attempt {
    const entry_request& request;
    const reservation& reserved;
    run_consumer& consumer;
    response_sink& caller;
    attempt_log& log;
    trace_context parent;
    std::string body;          ///< towards the endpoint
    bool keep_response{false}; ///< the agent keeps the answer for `outcome_request`
};

/// Runs a ticket and finds out what happened when the run did not end with a whole answer.
class attempt_runner {
  public:
    attempt_runner(const daemon_context& process, std::string process_name, configuration_source& source,
                   cooldown_list& lately_failed, ticket_canceller& cancels, suspect_reporter& reporter,
                   caller_watch& callers);

    /// @attention the log must know the reservation
    run_report run(const attempt& wanted);

  private:
    run_report run_connected(const attempt& wanted, const trace_context& span);
    void record_added_latency(const attempt& wanted);
    void settle(const attempt& wanted, const run_report& report);
    void settle_broken(const attempt& wanted, const run_report& report);

    const daemon_context& context;
    std::string name;
    configuration_source& configurations;
    cooldown_list& marks;
    ticket_canceller& canceller;
    suspect_reporter& suspects;
    caller_watch& watch;
    latency_histogram& added_latency; ///< from the caller's header to the run message of the first attempt
};

} // namespace pomelohoist
