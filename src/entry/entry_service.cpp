#include "entry/entry_service.h"

namespace pomelohoist {

namespace {

class gate_guard {
  public:
    explicit gate_guard(service_gate& entered) : gate(entered), admitted(entered.enter()) {}
    ~gate_guard() {
        if (this->admitted) {
            this->gate.leave();
        }
    }
    gate_guard(const gate_guard&) = delete;
    gate_guard& operator=(const gate_guard&) = delete;
    [[nodiscard]] bool is_admitted() const { return this->admitted; }

  private:
    service_gate& gate;
    bool admitted;
};

std::string kind_of(const forward_outcome& outcome) {
    if (outcome.caller_disconnected) {
        return "caller_gone";
    }
    return outcome.failed ? std::string{error_info_of(*outcome.failed).name} : "ok";
}

} // namespace

entry_service::entry_service(const forward_services& shared, configuration_source& source, forwarder& without_key,
                             claimed_forwarder& with_key, service_gate& admission)
    : services(shared), configurations(source), plain(without_key), claimed(with_key), gate(admission),
      parser(shared.context.time, shared.context.random) {
    shared.context.metrics.add_gauge("entry_open_streams",
                                     [this] { return static_cast<double>(this->open_streams.load()); });
    shared.context.metrics.add_gauge("entry_active_requests",
                                     [this] { return static_cast<double>(this->gate.active()); });
}

void entry_service::serve(const raw_request& raw, steady_time arrived, response_sink& caller) {
    const std::string request_id = this->parser.choose_request_id(raw);
    caller.add_header("X-Request-Id", request_id);
    scoped_span span{this->services.context.spans, this->services.context.time, this->services.context.random,
                     "entry.request", trace_context::parse(raw.header("traceparent").value_or(""))};
    span.set("request_id", request_id);
    caller.add_header("traceparent", span.context().to_traceparent());
    const gate_guard admission{this->gate};
    const forward_outcome outcome = admission.is_admitted()
                                        ? this->handle(raw, request_id, arrived, caller, span)
                                        : this->fail({error_kind::draining, "this entry is stopping"}, raw, caller);
    if (outcome.failed) {
        span.mark_failed(kind_of(outcome));
    }
    this->record_outcome(request_id, outcome, arrived);
}

void entry_service::refuse(const raw_request& raw, const failure& reason, response_sink& caller) {
    const std::string request_id = this->parser.choose_request_id(raw);
    caller.add_header("X-Request-Id", request_id);
    this->record_outcome(request_id, this->fail(reason, raw, caller), this->services.context.time.now());
}

forward_outcome entry_service::handle(const raw_request& raw, const std::string& request_id, steady_time arrived,
                                      response_sink& caller, scoped_span& span) {
    const configuration_ptr declared = this->configurations.current();
    if (!declared || declared->version() == 0) {
        return this->fail({error_kind::not_ready, "this entry has no configuration yet"}, raw, caller);
    }
    const result<entry_request> request = this->parser.parse(raw, *declared, request_id, arrived);
    if (!request) {
        return this->fail(request.last_error(), raw, caller);
    }
    return this->forward(*request, caller, span);
}

forward_outcome entry_service::forward(const entry_request& request, response_sink& caller, scoped_span& span) {
    caller.set_deadline(request.deadline);
    span.set("workspace", request.workspace);
    span.set("application", request.application);
    span.set("serves", request.serves);
    this->services.budget.record_request();
    this->open_streams += request.stream ? 1 : 0;
    const forward_outcome outcome = request.idempotency_key.empty()
                                        ? this->plain.forward(request, caller, span.context())
                                        : this->claimed.forward(request, caller, span.context());
    this->open_streams -= request.stream ? 1 : 0;
    return outcome;
}

forward_outcome entry_service::fail(const failure& reason, const raw_request& raw, response_sink& caller) {
    // Nothing was sent for this request, so an empty log gives the proof that it was not run. A request with an
    // idempotency key may be the caller's retry of a request that ran through another entry. A refusal for a temporary
    // cause must not report such a retry as "not run".
    const bool may_be_retry =
        raw.header("Idempotency-Key").has_value() && error_info_of(reason.kind).retry_after_s != 0;
    caller.send_failure({reason, may_be_retry ? std::nullopt : attempt_log{}.proof(), {}});
    return {reason.kind, false};
}

void entry_service::record_outcome(const std::string& request_id, const forward_outcome& outcome, steady_time arrived) {
    const std::string kind = kind_of(outcome);
    const std::chrono::duration<double, std::milli> spent = this->services.context.time.now() - arrived;
    this->services.context.metrics.get_counter("entry_requests_total", "kind=\"" + kind + "\"").add();
    this->services.context.metrics.get_histogram("entry_request_ms").record(spent.count());
    this->services.context.log.info(
        "request_done", {{"request_id", request_id}, {"kind", kind}, {"ms", std::to_string(spent.count())}});
}

bool entry_service::is_ready() const {
    const configuration_ptr declared = this->configurations.current();
    return !this->gate.is_closed() && declared && declared->version() != 0;
}

std::string entry_service::render_metrics() const {
    return this->services.context.metrics.render();
}

} // namespace pomelohoist
