#include "entry/retry_state.h"

#include <pomelohoist/config.h>

#include <thread>

namespace pomelohoist {

retry_state::retry_state(const clock& time_source, retry_budget& limit, counter& retry_count)
    : time(time_source), budget(limit), retries(retry_count) {}

bool retry_state::wait_for_retry(const entry_request& request, bool spends_budget) {
    if (this->rounds >= config::max_attempts) {
        return false;
    }
    const std::chrono::milliseconds wait =
        spends_budget ? this->budget.backoff(this->rounds) : std::chrono::milliseconds{0};
    if (this->time.now() + wait >= request.deadline) {
        return false;
    }
    if (spends_budget && !this->budget.try_spend()) {
        return false;
    }
    ++this->rounds;
    this->retries.add();
    std::this_thread::sleep_for(wait);
    return true;
}

bool is_transient(const run_report& report) {
    switch (report.reason.kind) {
    case error_kind::bad_request:
    case error_kind::forbidden:
    case error_kind::request_quarantined:
    case error_kind::deadline_exceeded:
        return false;
    default:
        break;
    }
    return report.ending != run_ending::complete && !is_caller_disconnected(report);
}

} // namespace pomelohoist
