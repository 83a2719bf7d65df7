#include "entry/attempt_runner.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

attempt_runner::attempt_runner(const daemon_context& process, std::string process_name, configuration_source& source,
                               cooldown_list& lately_failed, ticket_canceller& cancels, suspect_reporter& reporter,
                               caller_watch& callers)
    : context(process), name(std::move(process_name)), configurations(source), marks(lately_failed), canceller(cancels),
      suspects(reporter), watch(callers), added_latency(process.metrics.get_histogram("entry_added_latency_ms")) {}

run_report attempt_runner::run(const attempt& wanted) {
    scoped_span span{this->context.spans, this->context.time, this->context.random, "entry.run", wanted.parent};
    span.set("endpoint", wanted.reserved.target.name);
    run_report report = this->run_connected(wanted, span.context());
    if (report.ending != run_ending::whole) {
        span.mark_failed(report.reason.reason);
        this->context.log.info("run_not_whole", {{"request_id", wanted.request.request_id},
                                                 {"endpoint", wanted.reserved.target.name},
                                                 {"ticket", wanted.reserved.granted.granted.to_string()},
                                                 {"reason", report.reason.reason}});
        this->settle(wanted, report);
    }
    return report;
}

run_report attempt_runner::run_connected(const attempt& wanted, const trace_context& span) {
    run_connection connection{this->context.time, this->name};
    const result<done> opened = connection.open(wanted.reserved.target.agent, wanted.request.deadline);
    if (!opened) {
        return {run_ending::not_connected, opened.last_error()};
    }
    inner::run_request message;
    message.granted = wanted.reserved.granted.granted;
    message.reservation = wanted.reserved.request;
    message.trace = span;
    message.method = wanted.request.method;
    message.path = wanted.request.path;
    message.headers = wanted.request.headers;
    message.body = wanted.body;
    message.keep_response = wanted.keep_response;
    this->record_added_latency(wanted);
    if (!wanted.request.idempotent) {
        return connection.run(message, wanted.consumer, wanted.log, wanted.request.deadline);
    }
    bool gone = false;
    run_report report;
    {
        const caller_watch::watched_caller watched{this->watch, wanted.caller, [&connection, &gone] {
                                                       gone = true;
                                                       connection.abort();
                                                   }};
        report = connection.run(message, wanted.consumer, wanted.log, wanted.request.deadline);
    }
    if (gone && report.ending != run_ending::whole) {
        return {run_ending::given_up, {error_kind::unreachable, "the caller is gone"}};
    }
    return report;
}

void attempt_runner::record_added_latency(const attempt& wanted) {
    if (wanted.log.attempts() == 1) {
        const std::chrono::duration<double, std::milli> spent = this->context.time.now() - wanted.request.arrived;
        this->added_latency.record(spent.count());
    }
}

void attempt_runner::settle(const attempt& wanted, const run_report& report) {
    const std::string& endpoint_name = wanted.reserved.target.name;
    switch (report.ending) {
    case run_ending::not_connected:
        this->marks.start_cooldown(endpoint_name, config::failed_cooldown);
        return;
    case run_ending::refused:
        if (report.reason.kind == error_kind::draining) {
            this->marks.start_cooldown(endpoint_name, config::draining_cooldown);
        }
        return;
    case run_ending::agent_lost:
    case run_ending::failed:
        this->marks.start_cooldown(endpoint_name, config::failed_cooldown);
        break;
    default:
        break;
    }
    this->settle_broken(wanted, report);
}

void attempt_runner::settle_broken(const attempt& wanted, const run_report& report) {
    const net_address& agent = wanted.reserved.target.agent;
    const ticket& granted = wanted.reserved.granted.granted;
    const bool lost = report.ending == run_ending::agent_lost;
    if (wanted.request.idempotent && !lost) {
        // Nobody waits for the answer of this ticket any more, and no proof is needed to run the request again.
        this->canceller.cancel_later(agent, granted, true);
        return;
    }
    const auto timeout = wanted.request.idempotent ? config::reserve_timeout : config::cancel_timeout;
    const result<inner::ticket_state> state =
        this->canceller.cancel(agent, granted, wanted.request.idempotent, timeout);
    if (state) {
        wanted.log.note_ticket_state(*state);
    }
    // An agent that still knows the ticket is alive, and only its connection broke. A request that still waited there
    // did not kill anything; suspicion would delay it and, after a second loss, put it into quarantine.
    if (lost && !report.only_queued && (!state || *state == inner::ticket_state::unknown)) {
        const std::size_t told = this->suspects.report(wanted.request, granted, *this->configurations.current());
        this->context.log.warn("agent_lost", {{"request_id", wanted.request.request_id},
                                              {"endpoint", wanted.reserved.target.name},
                                              {"agents_told", std::to_string(told)}});
    }
}

} // namespace pomelohoist
