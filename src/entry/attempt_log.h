#pragma once

#include "inner/messages.h"

#include <pomelohoist/types.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Records what was sent for each attempt at a request, so that "not run" is reported only with a proof.
namespace pomelohoist {

/// State of one attempt as far as the entry knows.
enum class attempt_state : std::uint8_t {
    reserved, ///< the attempt has a ticket, and no run message was sent
    sent,     ///< the run message was sent, completely or in part: the request may have run
    refused,  ///< the agent refused the run
    voided,   ///< the agent responded `not_started`, which voids the ticket
    count
};

/// Proof that a request was not run. Only an `attempt_log` can create it.
class not_run_proof {
    friend class attempt_log;
    not_run_proof() = default;
};

/// All attempts at one request.
/// @attention used by one thread
class attempt_log {
  public:
    /// Adds an attempt with its ticket. The other `record_` functions apply to the latest attempt.
    void record_reserved(const ticket& granted);
    /// @attention must be called before the first byte of the run message is written
    void record_sent();
    /// @param refused ticket named in the refusal; a refusal of another ticket proves nothing
    void record_refused(const ticket& refused);
    /// @param state the agent's response to `cancel_request` or `outcome_request` for the latest attempt
    void record_ticket_state(inner::ticket_state state);

    /// @returns a proof when it is certain that no attempt has run; otherwise nothing
    [[nodiscard]] std::optional<not_run_proof> proof() const;
    [[nodiscard]] std::size_t attempts() const { return this->entries.size(); }

  private:
    struct attempt_record {
        ticket granted;
        attempt_state state{attempt_state::reserved};
    };
    std::vector<attempt_record> entries;
};

} // namespace pomelohoist
