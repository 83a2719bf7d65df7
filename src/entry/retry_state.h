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

/// Rounds of one request: what was tried, and whether one more is allowed.
class retry_state {
  public:
    retry_state(const clock& time_source, retry_budget& limit, counter& retry_count);

    /// Waits before one more round.
    /// @param spends_budget false for rounds that add no load where load may be the cause
    /// @returns false when attempts, budget or time are used up
    bool pause(const entry_request& request, bool spends_budget);

    std::set<std::string> tried; ///< names of endpoints that failed or refused

  private:
    const clock& time;
    retry_budget& budget;
    counter& retries;
    std::uint32_t rounds{1};
};

/// @returns true when the reason of the report may be gone at another endpoint; says nothing about whether the request
/// may run again
bool is_transient(const run_report& report);

} // namespace pomelohoist
