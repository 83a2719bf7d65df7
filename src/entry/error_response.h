#pragma once

#include "entry/attempt_log.h"

#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Errors as callers see them.
namespace pomelohoist {

/// An error, with the proof that the request was not run if there is one.
struct request_failure {
    failure reason;
    std::optional<not_run_proof> proof;
    std::chrono::milliseconds retry_after{0}; ///< wait requested by an agent; used if longer than the error kind's
};

struct error_response {
    std::uint16_t http_status{0};
    std::uint32_t retry_after_s{0}; ///< 0 for none
    std::string body;               ///< {"error":{"kind","message","not_run"}}
};

/// @returns status, Retry-After and body of the response to the caller
error_response make_error_response(const request_failure& failed);

/// @returns the failure as a server-sent `error` event, for a stream that has begun
std::string make_error_event(const request_failure& failed);

/// @param reason of the last attempt
/// @returns the failure; `outcome_unknown` when a non-idempotent request may have run
request_failure classify_failure(const failure& reason, const attempt_log& log, bool idempotent);

} // namespace pomelohoist
