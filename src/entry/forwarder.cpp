#include "entry/forwarder.h"

#include "entry/model_call.h"

namespace pomelohoist {

namespace {

// A non-idempotent request may go on only with the proof that no attempt has run. A stream that has begun can only be
// resumed by a model.
bool may_run_again(const entry_request& request, const attempt_log& log, const answer_stream& answer) {
    if (!request.idempotent) {
        return log.proof().has_value() && !answer.has_begun();
    }
    return !answer.has_begun() || request.kind == endpoint_kind::model;
}

forward_outcome give_up(const entry_request& request, answer_stream& answer, const attempt_log& log,
                        const reserve_refusal& refused) {
    request_failure failed = judge_failure(refused.reason, log, request.idempotent);
    failed.retry_after = refused.retry_after;
    answer.fail(failed);
    return {failed.reason.kind, answer.is_caller_gone()};
}

} // namespace

forwarder::forwarder(const forward_services& shared)
    : services(shared), retries(shared.context.metrics.get_counter("entry_retries_total")) {}

forward_outcome forwarder::forward(const entry_request& request, response_sink& caller, const trace_context& parent) {
    attempt_log log;
    answer_stream answer{request, caller};
    retry_state rounds{this->services.context.time, this->services.budget, this->retries};
    while (true) {
        const reserve_outcome reserved = this->services.tickets.reserve(request, rounds.tried, parent);
        if (!reserved.accepted) {
            if (reserved.refused.retryable && rounds.pause(request, reserved.refused.spends_budget)) {
                continue;
            }
            return give_up(request, answer, log, reserved.refused);
        }
        log.note_reserved(reserved.accepted->granted.granted);
        const run_report report = this->run_once(request, *reserved.accepted, answer, caller, log, parent);
        if (report.ending == run_ending::whole) {
            answer.finish();
            return {std::nullopt, answer.is_caller_gone()};
        }
        rounds.tried.insert(reserved.accepted->target.name);
        const bool again = is_transient(report) && may_run_again(request, log, answer);
        if (!again || !rounds.pause(request, true)) {
            forward_outcome outcome = give_up(request, answer, log, {report.reason, {}, false, true});
            outcome.caller_gone = outcome.caller_gone || is_caller_gone(report);
            return outcome;
        }
    }
}

run_report forwarder::run_once(const entry_request& request, const reservation& accepted, answer_stream& answer,
                               response_sink& caller, attempt_log& log, const trace_context& parent) {
    answer.prepare_attempt();
    const std::string body = answer.has_begun() ? with_resume_from(request.body, answer.tokens_sent()) : request.body;
    return this->services.runner.run({request, accepted, answer, caller, log, parent, body, false});
}

} // namespace pomelohoist
