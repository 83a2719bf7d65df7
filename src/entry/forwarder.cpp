#include "entry/forwarder.h"

#include "entry/model_call.h"

namespace pomelohoist {

namespace {

// A non-idempotent request may be retried only with the proof that no attempt has run. Only model endpoints can resume
// a stream that has begun.
bool may_run_again(const entry_request& request, const attempt_log& log, const response_stream& response) {
    if (!request.idempotent) {
        return log.proof().has_value() && !response.has_begun();
    }
    return !response.has_begun() || request.kind == endpoint_kind::model;
}

forward_outcome send_final_failure(const entry_request& request, response_stream& response, const attempt_log& log,
                                   const reserve_refusal& refused) {
    request_failure failed = classify_failure(refused.reason, log, request.idempotent);
    failed.retry_after = refused.retry_after;
    response.fail(failed);
    return {failed.reason.kind, response.is_caller_disconnected()};
}

} // namespace

forwarder::forwarder(const forward_services& shared)
    : services(shared), retries(shared.context.metrics.get_counter("entry_retries_total")) {}

forward_outcome forwarder::forward(const entry_request& request, response_sink& caller, const trace_context& parent) {
    attempt_log log;
    response_stream response{request, caller};
    retry_state retry{this->services.context.time, this->services.budget, this->retries};
    while (true) {
        const reserve_outcome reserved = this->services.tickets.reserve(request, retry.tried, parent);
        if (!reserved.accepted) {
            if (reserved.refused.retryable && retry.wait_for_retry(request, reserved.refused.spends_budget)) {
                continue;
            }
            return send_final_failure(request, response, log, reserved.refused);
        }
        log.record_reserved(reserved.accepted->offer.granted);
        const run_report report = this->run_once(request, *reserved.accepted, response, caller, log, parent);
        if (report.ending == run_ending::complete) {
            response.finish();
            return {std::nullopt, response.is_caller_disconnected()};
        }
        retry.tried.insert(reserved.accepted->target.name);
        const bool may_retry = is_transient(report) && may_run_again(request, log, response);
        if (!may_retry || !retry.wait_for_retry(request, true)) {
            forward_outcome outcome = send_final_failure(request, response, log, {report.reason, {}, false, true});
            outcome.caller_disconnected = outcome.caller_disconnected || is_caller_disconnected(report);
            return outcome;
        }
    }
}

run_report forwarder::run_once(const entry_request& request, const reservation& accepted, response_stream& response,
                               response_sink& caller, attempt_log& log, const trace_context& parent) {
    response.begin_attempt();
    const std::string body =
        response.has_begun() ? with_resume_from(request.body, response.tokens_sent()) : request.body;
    return this->services.runner.run({request, accepted, response, caller, log, parent, body, false});
}

} // namespace pomelohoist
