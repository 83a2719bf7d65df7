#include "entry/attempt_runner.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

attempt_runner::attempt_runner(const daemon_context& process, std::string process_name, configuration_source& source,
                               cooldown_list& endpoint_cooldowns, ticket_canceller& cancels, suspect_reporter& reporter,
                               caller_monitor& monitor)
    : context(process), name(std::move(process_name)), configurations(source), cooldowns(endpoint_cooldowns),
      canceller(cancels), suspects(reporter), callers(monitor),
      added_latency(process.metrics.get_histogram("entry_added_latency_ms")) {}

run_report attempt_runner::run(const attempt& current) {
    scoped_span span{this->context.spans, this->context.time, this->context.random, "entry.run", current.parent};
    span.set("endpoint", current.reserved.target.name);
    run_report report = this->run_connected(current, span.context());
    if (report.ending != run_ending::complete) {
        span.mark_failed(report.reason.reason);
        this->context.log.info("run_incomplete", {{"request_id", current.request.request_id},
                                                  {"endpoint", current.reserved.target.name},
                                                  {"ticket", current.reserved.offer.granted.to_string()},
                                                  {"reason", report.reason.reason}});
        this->handle_failure(current, report);
    }
    return report;
}

run_report attempt_runner::run_connected(const attempt& current, const trace_context& span) {
    run_connection connection{this->context.time, this->name};
    const result<done> opened = connection.open(current.reserved.target.agent, current.request.deadline);
    if (!opened) {
        return {run_ending::not_connected, opened.last_error()};
    }
    inner::run_request message;
    message.granted = current.reserved.offer.granted;
    message.reservation = current.reserved.request;
    message.trace = span;
    message.method = current.request.method;
    message.path = current.request.path;
    message.headers = current.request.headers;
    message.body = current.body;
    message.keep_response = current.keep_response;
    this->record_added_latency(current);
    if (!current.request.idempotent) {
        return connection.run(message, current.consumer, current.log, current.request.deadline);
    }
    bool disconnected = false;
    run_report report;
    {
        const caller_monitor::monitored_caller monitored{this->callers, current.caller, [&connection, &disconnected] {
                                                             disconnected = true;
                                                             connection.abort();
                                                         }};
        report = connection.run(message, current.consumer, current.log, current.request.deadline);
    }
    if (disconnected && report.ending != run_ending::complete) {
        return {run_ending::aborted, {error_kind::unreachable, "the caller is gone"}};
    }
    return report;
}

void attempt_runner::record_added_latency(const attempt& current) {
    if (current.log.attempts() == 1) {
        const std::chrono::duration<double, std::milli> spent = this->context.time.now() - current.request.arrived;
        this->added_latency.record(spent.count());
    }
}

void attempt_runner::handle_failure(const attempt& current, const run_report& report) {
    const std::string& endpoint_name = current.reserved.target.name;
    switch (report.ending) {
    case run_ending::not_connected:
        this->cooldowns.start_cooldown(endpoint_name, config::failed_cooldown);
        return;
    case run_ending::refused:
        if (report.reason.kind == error_kind::draining) {
            this->cooldowns.start_cooldown(endpoint_name, config::draining_cooldown);
        }
        return;
    case run_ending::agent_lost:
    case run_ending::failed:
        this->cooldowns.start_cooldown(endpoint_name, config::failed_cooldown);
        break;
    default:
        break;
    }
    this->handle_broken_run(current, report);
}

void attempt_runner::handle_broken_run(const attempt& current, const run_report& report) {
    const net_address& agent = current.reserved.target.agent;
    const ticket& granted = current.reserved.offer.granted;
    const bool lost = report.ending == run_ending::agent_lost;
    if (current.request.idempotent && !lost) {
        // An idempotent request may run again without a proof, so the state of this ticket need not be awaited. The
        // cancellation stops a run whose response is no longer used.
        this->canceller.cancel_later(agent, granted, true);
        return;
    }
    const auto timeout = current.request.idempotent ? config::reserve_timeout : config::cancel_timeout;
    const result<inner::ticket_state> state =
        this->canceller.cancel(agent, granted, current.request.idempotent, timeout);
    if (state) {
        current.log.record_ticket_state(*state);
    }
    // An agent that still has the ticket is alive: only the connection broke. A request that was still queued cannot
    // have crashed the agent; reporting that request as a suspect would delay it and, after a second loss, quarantine
    // it.
    if (lost && !report.only_queued && (!state || *state == inner::ticket_state::unknown)) {
        const std::size_t acknowledged =
            this->suspects.report(current.request, granted, *this->configurations.current());
        this->context.log.warn("agent_lost", {{"request_id", current.request.request_id},
                                              {"endpoint", current.reserved.target.name},
                                              {"agents_told", std::to_string(acknowledged)}});
    }
}

} // namespace pomelohoist
