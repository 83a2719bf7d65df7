#pragma once

#include "entry/claim_access.h"
#include "entry/forwarder.h"
#include "entry/response_buffer.h"

#include <optional>
#include <string>

namespace pomelohoist {

/// Forwards requests with an idempotency key: at most one run per key, also when retries use different entries.
class claimed_forwarder {
  public:
    /// @param process_name sent with each packet
    claimed_forwarder(const forward_services& shared, std::string process_name, claim_access& rows);

    /// Sends exactly one response or failure to the caller.
    forward_outcome forward(const entry_request& request, response_sink& caller, const trace_context& parent);

  private:
    struct claimed_request;
    /// The outcome, as far as it is known, of the run of the attempt that holds a claim.
    struct resolution {
        bool may_take_over{false}; ///< the attempt is proved not to have run
        std::optional<inner::stored_response> response;
        failure reason; ///< meaningful only without a response and when `may_take_over` is false
    };

    forward_outcome refuse(claimed_request& claimed, const reserve_refusal& refused);
    std::optional<claim_record> obtain_claim(claimed_request& claimed, const reservation& accepted);
    std::optional<forward_outcome> run_claimed(claimed_request& claimed, const reservation& accepted,
                                               const claim_record& own, const trace_context& parent);
    std::optional<forward_outcome> handle_incomplete_run(claimed_request& claimed, const claim_record& own,
                                                         const run_report& report);
    resolution resolve(const claimed_request& claimed, const claim_record& found);
    resolution query_outcome(const claimed_request& claimed, const claim_record& found);
    void send_resolution(claimed_request& claimed, const resolution& resolved);
    void send_stored(claimed_request& claimed, const inner::stored_response& response);
    void send_failure(claimed_request& claimed, const request_failure& failed);

    const forward_services& services;
    std::string name;
    claim_access& claims;
    counter& retries;
};

} // namespace pomelohoist
