#include "agent/run_session.h"

#include <pomelohoist/config.h>

#include <Poco/String.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace pomelohoist {

namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

/// Sends the response to the entry as numbered chunks, and stores it when the run requires that.
class run_sink : public endpoint_sink {
  public:
    run_sink(const run_parts& shared_parts, const inner::run_request& run, inner::frame_channel& entry_channel)
        : parts(shared_parts), request(run), channel(entry_channel),
          keeps_response(run.keep_response || !run.reservation.idempotent) {}

    void on_send() override { this->parts.monitor.begin_run(this->request.granted, this->request.reservation.digest); }

    bool on_head(std::uint16_t status, const std::vector<inner::header_field>& headers) override {
        this->stored.http_status = status;
        for (const inner::header_field& header : headers) {
            if (Poco::icompare(header.name, "content-type") == 0) {
                this->stored.content_type = header.value;
            }
        }
        return this->forward(inner::run_head{this->request.granted, status, headers});
    }

    bool on_data(std::string_view data) override {
        if (this->keeps_response && this->stored.body.size() + data.size() <= config::max_body_bytes) {
            this->stored.body += data;
        } else {
            this->keeps_response = false;
        }
        return this->forward(inner::run_chunk{this->request.granted, this->chunks++, std::string{data}});
    }

    [[nodiscard]] std::uint64_t chunk_count() const { return this->chunks; }
    [[nodiscard]] const inner::stored_response* response_to_store() const {
        return this->keeps_response ? &this->stored : nullptr;
    }

  private:
    /// @returns false when the run is to be aborted: the entry has disconnected, and the request is idempotent, so it
    /// can be run again at another endpoint
    template <class Message> bool forward(const Message& message) {
        if (this->is_connected) {
            this->is_connected = this->channel.send(message).has_value();
            if (!this->is_connected) {
                // No frame may follow a missing or truncated frame.
                this->channel.abort();
            }
        }
        return this->is_connected || !this->request.reservation.idempotent;
    }

    const run_parts& parts;
    const inner::run_request& request;
    inner::frame_channel& channel;
    bool keeps_response;
    bool is_connected{true};
    std::uint64_t chunks{0};
    inner::stored_response stored;
};

void refuse(const run_parts& parts, const inner::run_request& request, inner::frame_channel& channel,
            const failure& reason) {
    const std::string kind{error_info_of(reason.kind).name};
    parts.context.metrics.get_counter("agent_runs_refused_total", "kind=\"" + kind + "\"").add();
    parts.context.log.info("run_refused", {{"request_id", request.reservation.request_id},
                                           {"ticket", request.granted.to_string()},
                                           {"kind", kind},
                                           {"reason", reason.reason}});
    // If the entry has disconnected, a lost refusal does no harm: the ticket is void and a later cancel reports that.
    static_cast<void>(channel.send(inner::run_refused{request.granted, reason.kind, reason.reason}));
}

failure refusal_of(slot_wait_state slot_outcome) {
    switch (slot_outcome) {
    case slot_wait_state::late:
        return {error_kind::overloaded, "the request could not start before its deadline"};
    case slot_wait_state::quarantined:
        return {error_kind::request_quarantined, "endpoints died while they ran this request"};
    case slot_wait_state::not_ready:
        return {error_kind::not_ready, "the endpoint is not ready"};
    default:
        return {error_kind::ticket_refused, "the ticket was cancelled"};
    }
}

endpoint_request endpoint_request_of(const inner::run_request& request, const trace_context& context) {
    endpoint_request outgoing{request.method, request.path, {}, request.body};
    for (const inner::header_field& header : request.headers) {
        const bool is_replaced =
            Poco::icompare(header.name, "traceparent") == 0 || Poco::icompare(header.name, "x-request-id") == 0;
        if (!is_replaced) {
            outgoing.headers.push_back(header);
        }
    }
    outgoing.headers.push_back({"traceparent", context.to_traceparent()});
    outgoing.headers.push_back({"X-Request-Id", request.reservation.request_id});
    return outgoing;
}

/// Runs a started ticket at the endpoint.
/// @returns the report; when the endpoint crashed, its suspects have been published before
endpoint_report run_started(const run_parts& parts, const inner::run_request& request, inner::frame_channel& channel,
                            run_sink& sink, const trace_context& context) {
    const ticket& id = request.granted;
    abort_signal signal;
    parts.watch.add(id, channel, signal, request.reservation.idempotent);
    endpoint_report report = parts.driver.run(endpoint_request_of(request, context), sink, signal);
    parts.watch.remove(id);
    if (report.outcome == run_outcome::refused && !signal.is_aborted()) {
        parts.monitor.on_connection_refused();
    }
    const bool was_aborted = report.outcome == run_outcome::aborted;
    if ((was_aborted || report.outcome == run_outcome::broken) && parts.monitor.on_run_broken(id, was_aborted)) {
        report.reason = "the endpoint died: " + report.reason;
    }
    parts.monitor.end_run(id);
    return report;
}

void report_end(const run_parts& parts, const inner::run_request& request, const endpoint_report& report,
                scoped_span& span, fractional_ms duration) {
    const bool completed = report.outcome == run_outcome::completed;
    parts.context.metrics.get_histogram("agent_run_ms").record(duration.count());
    parts.context.metrics.get_counter("agent_runs_total", completed ? "outcome=\"completed\"" : "outcome=\"failed\"")
        .add();
    std::vector<log_field> fields{{"request_id", request.reservation.request_id},
                                  {"ticket", request.granted.to_string()},
                                  {"run_ms", std::to_string(duration.count())}};
    if (completed) {
        parts.context.log.info("run_completed", fields);
        return;
    }
    span.mark_failed(report.reason);
    fields.push_back({"reason", report.reason});
    parts.context.log.warn("run_failed", fields);
}

void run_granted(const run_parts& parts, const inner::run_request& request, inner::frame_channel& channel,
                 scoped_span& span) {
    const ticket& id = request.granted;
    const steady_time begin = parts.context.time.now();
    run_sink sink{parts, request, channel};
    const endpoint_report report = run_started(parts, request, channel, sink, span.context());
    const bool completed = report.outcome == run_outcome::completed;
    // The response is stored before the ticket becomes finished. In the other order, an outcome request in between
    // would find a finished run without its response.
    if (completed && sink.response_to_store() != nullptr) {
        parts.responses.store(id, *sink.response_to_store());
    }
    parts.scheduler.release(id, completed);
    report_end(parts, request, report, span, parts.context.time.now() - begin);
    if (report.outcome == run_outcome::refused) {
        refuse(parts, request, channel, {error_kind::not_ready, report.reason});
    } else {
        inner::run_end end{id, sink.chunk_count(), std::nullopt, ""};
        if (!completed) {
            end.failed = error_kind::endpoint_failed;
            end.reason = report.reason;
        }
        static_cast<void>(channel.send(end));
    }
    parts.tickets.finish(id);
}

} // namespace

request_size size_of(const inner::reserve_request& reservation) {
    return {reservation.prefix_hash, reservation.prompt_tokens, reservation.max_output_tokens};
}

queue_item queue_item_of(const run_parts& parts, const inner::reserve_request& reservation, const ticket& id) {
    queue_item item;
    item.id = id;
    item.workspace = reservation.workspace;
    item.digest = reservation.digest;
    // A received value out of range counts as the lowest priority.
    item.importance = std::min(reservation.importance, priority::low);
    item.work = parts.scheduler.work(size_of(reservation));
    item.latest_start = parts.context.time.now() + time_left_of(reservation);
    const configuration_ptr current = parts.declarations.current();
    const workspace* declared = current ? current->find_workspace(reservation.workspace) : nullptr;
    item.weight = declared != nullptr ? declared->weight : 1.0;
    return item;
}

std::chrono::milliseconds time_left_of(const inner::reserve_request& reservation) {
    return reservation.deadline_ms == 0 ? config::default_request_deadline
                                        : std::chrono::milliseconds{reservation.deadline_ms};
}

void serve_run(const run_parts& parts, const inner::run_request& request, inner::frame_channel& channel) {
    const std::optional<trace_context> parent =
        request.trace.trace_id.empty() ? std::nullopt : std::optional{request.trace};
    scoped_span span{parts.context.spans, parts.context.time, parts.context.random, "agent.run", parent};
    span.set("request_id", request.reservation.request_id);
    const result<done> presented = parts.tickets.present(request.granted, request.reservation.digest);
    if (!presented) {
        span.mark_failed(presented.last_error().reason);
        refuse(parts, request, channel, presented.last_error());
        return;
    }
    if (request.fencing_epoch > 0 && !parts.fencing.admit(request.fencing_epoch)) {
        parts.tickets.cancel(request.granted);
        span.mark_failed("stale epoch");
        refuse(parts, request, channel, {error_kind::stale_epoch, "a higher epoch was seen"});
        return;
    }
    const queue_item item = queue_item_of(parts, request.reservation, request.granted);
    const request_size size = size_of(request.reservation);
    const steady_time begin = parts.context.time.now();
    bool was_queued = false;
    const auto on_queued = [&was_queued, &request, &channel] {
        was_queued = true;
        static_cast<void>(channel.send(inner::run_progress{request.granted, false}));
    };
    const slot_wait_state slot_outcome = parts.scheduler.wait_for_slot(
        item, size, [&channel] { return channel.is_closed_by_peer(); }, on_queued);
    const fractional_ms wait = parts.context.time.now() - begin;
    parts.context.metrics.get_histogram("agent_queue_wait_ms").record(wait.count());
    span.set("queue_wait_ms", std::to_string(wait.count()));
    if (slot_outcome != slot_wait_state::granted) {
        span.mark_failed(refusal_of(slot_outcome).reason);
        refuse(parts, request, channel, refusal_of(slot_outcome));
        return;
    }
    if (was_queued) {
        // The progress message is sent before the request goes to the endpoint: if the host is lost, the entry then
        // knows which requests had started.
        static_cast<void>(channel.send(inner::run_progress{request.granted, true}));
    }
    run_granted(parts, request, channel, span);
}

} // namespace pomelohoist
