#pragma once

#include "common/metrics.h"
#include "entry/entry_request.h"
#include "entry/retry_budget.h"
#include "entry/run_connection.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <set>
#include <string>

namespace pomelohoist {

/// Retry rounds of one request: which endpoints were tried, and whether another round is allowed.
class retry_state {
  public:
    retry_state(const clock& time_source, retry_budget& limit, counter& retry_count);

    /// Waits for the backoff delay before another round and counts the round.
    /// @param spends_budget false when the refusal cannot be caused by load (stale configuration, draining, not ready);
    /// the round then needs neither a delay nor budget
    /// @returns false when attempts, budget or time are exhausted
    bool wait_for_retry(const entry_request& request, bool spends_budget);

    std::set<std::string> tried; ///< names of endpoints that failed or refused

  private:
    const clock& time;
    retry_budget& budget;
    counter& retries;
    std::uint32_t rounds{1};
};

/// @returns true when the request may succeed at another endpoint; does not say whether the request may run again
bool is_transient(const run_report& report);

} // namespace pomelohoist
