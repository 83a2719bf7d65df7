#include "entry/error_response.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelohoist {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

// Returns true for errors about an earlier run of the same request. That run is not in this request's log, so the
// log's proof does not cover that run.
bool is_about_earlier_run(error_kind kind) {
    return kind == error_kind::in_progress || kind == error_kind::outcome_unknown ||
           kind == error_kind::request_quarantined;
}

std::string to_json(const request_failure& failed) {
    const error_info& info = error_info_of(failed.reason.kind);
    const bool not_run = failed.proof.has_value() && !is_about_earlier_run(failed.reason.kind);
    nlohmann::json body;
    body["error"]["kind"] = info.name;
    body["error"]["message"] = failed.reason.reason;
    body["error"]["not_run"] = not_run;
    // Reasons may quote a caller's bytes, which need not be valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

error_response make_error_response(const request_failure& failed) {
    const error_info& info = error_info_of(failed.reason.kind);
    error_response response;
    response.http_status = info.http_status;
    response.retry_after_s = info.retry_after_s;
    if (info.retry_after_s != 0) {
        const std::int64_t requested_s =
            (failed.retry_after.count() + milliseconds_per_second - 1) / milliseconds_per_second;
        response.retry_after_s = std::max(response.retry_after_s, static_cast<std::uint32_t>(requested_s));
    }
    response.body = to_json(failed);
    return response;
}

std::string make_error_event(const request_failure& failed) {
    return "event: error\ndata: " + to_json(failed) + "\n\n";
}

request_failure classify_failure(const failure& reason, const attempt_log& log, bool idempotent) {
    const std::optional<not_run_proof> proof = log.proof();
    if (!proof && !idempotent) {
        const std::string text = std::string{error_info_of(reason.kind).name} + ": " + reason.reason;
        return {{error_kind::outcome_unknown, "the request may have run; " + text}, std::nullopt, {}};
    }
    return {reason, proof, {}};
}

} // namespace pomelohoist
