#include "entry/error_reply.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelohoist {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

// These kinds speak about an earlier run of the same request, which the log of this request does not know.
bool is_about_earlier_run(error_kind kind) {
    return kind == error_kind::in_progress || kind == error_kind::outcome_unknown ||
           kind == error_kind::request_quarantined;
}

std::string to_json(const request_failure& failed) {
    const error_info& answer = error_info_of(failed.reason.kind);
    const bool not_run = failed.proof.has_value() && !is_about_earlier_run(failed.reason.kind);
    nlohmann::json body;
    body["error"]["kind"] = answer.name;
    body["error"]["message"] = failed.reason.reason;
    body["error"]["not_run"] = not_run;
    // Reasons may quote a caller's bytes, which need not be valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

error_reply make_error_reply(const request_failure& failed) {
    const error_info& answer = error_info_of(failed.reason.kind);
    error_reply reply;
    reply.http_status = answer.http_status;
    reply.retry_after_s = answer.retry_after_s;
    if (answer.retry_after_s != 0) {
        const std::int64_t asked = (failed.retry_after.count() + milliseconds_per_second - 1) / milliseconds_per_second;
        reply.retry_after_s = std::max(reply.retry_after_s, static_cast<std::uint32_t>(asked));
    }
    reply.body = to_json(failed);
    return reply;
}

std::string make_error_event(const request_failure& failed) {
    return "event: error\ndata: " + to_json(failed) + "\n\n";
}

request_failure judge_failure(const failure& reason, const attempt_log& log, bool idempotent) {
    const std::optional<not_run_proof> proof = log.proof();
    if (!proof && !idempotent) {
        const std::string text = std::string{error_info_of(reason.kind).name} + ": " + reason.reason;
        return {{error_kind::outcome_unknown, "the request may have run; " + text}, std::nullopt, {}};
    }
    return {reason, proof, {}};
}

} // namespace pomelohoist
