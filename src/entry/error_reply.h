#pragma once

#include "entry/attempt_log.h"

#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Errors as callers see them.
namespace pomelohoist {

/// An error with what is known about the run.
struct request_failure {
    failure reason;
    std::optional<not_run_proof> proof;
    std::chrono::milliseconds retry_after{0}; ///< a longer wait than the table's, as asked for by an agent
};

struct error_reply {
    std::uint16_t http_status{0};
    std::uint32_t retry_after_s{0}; ///< 0 for none
    std::string body;               ///< {"error":{"kind","message","not_run"}}
};

/// @returns status, Retry-After and body for the caller
error_reply make_error_reply(const request_failure& failed);

/// @returns the failure as a server-sent event `error`, for a stream that has begun
std::string make_error_event(const request_failure& failed);

/// @param reason of the last attempt
/// @returns the failure; `outcome_unknown` when a non-idempotent request may have run
request_failure judge_failure(const failure& reason, const attempt_log& log, bool idempotent);

} // namespace pomelohoist
