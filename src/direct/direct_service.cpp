#include "direct/direct_service.h"

#include <Poco/String.h>

#include <chrono>
#include <optional>
#include <string>

namespace pomelohoist {

namespace {

/// @returns the duration in ms, or "none"
template <class Duration> std::string to_text(const std::optional<Duration>& duration) {
    return duration ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count()) : "none";
}

/// Counts a request as active while this object exists.
class counted_request {
  public:
    explicit counted_request(std::atomic<std::uint32_t>& counted) : number(counted) { ++this->number; }
    ~counted_request() { --this->number; }
    counted_request(const counted_request&) = delete;
    counted_request& operator=(const counted_request&) = delete;

  private:
    std::atomic<std::uint32_t>& number;
};

} // namespace

direct_service::direct_service(const forwarding_parts& shared_parts, const routing_state& current_state)
    : parts(shared_parts), state(current_state), resolver(shared_parts.names, current_state) {
    this->parts.metrics.add_gauge("direct_cold_endpoints",
                                  [this] { return static_cast<double>(this->parts.statements.count_cold()); });
    this->parts.metrics.add_gauge("direct_evacuated_data_centres", [this] {
        const routing_snapshot snapshot = this->state.current();
        return snapshot.evacuations ? static_cast<double>(snapshot.evacuations->data_centres.size()) : 0.0;
    });
}

void direct_service::serve(const raw_request& raw, steady_time arrived, response_sink& sink,
                           caller_connection_monitor& caller) {
    const counted_request counted{this->in_progress};
    if (this->is_refusing) {
        this->refuse(raw, {error_kind::draining, "the entry stops"}, sink);
        return;
    }
    const result<direct_request> request = this->resolver.resolve(raw, arrived, this->parts.random.next());
    if (!request) {
        this->refuse(raw, request.last_error(), sink);
        return;
    }
    sink.set_deadline(request->deadline);
    direct_forwarder forwarder{this->parts, *request, sink, caller};
    this->record_outcome(*request, forwarder.run());
}

void direct_service::refuse(const raw_request& raw, const failure& reason, response_sink& sink) {
    this->parts.log.info("request_refused", {{"request", raw.header(this->parts.names.request_id).value_or("")},
                                             {"kind", std::string{error_info_of(reason.kind).name}},
                                             {"target", raw.target},
                                             {"reason", reason.reason}});
    this->parts.metrics
        .get_counter("direct_refused_total", "kind=\"" + std::string{error_info_of(reason.kind).name} + "\"")
        .add();
    send_error_response(sink, reason, this->parts.random.next_fraction());
}

void direct_service::record_outcome(const direct_request& request, const forwarding_outcome& outcome) {
    const auto duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->parts.time.now() - request.arrived);
    this->parts.metrics.get_histogram("direct_request_ms").record(static_cast<double>(duration.count()));
    this->parts.metrics.get_counter("direct_requests_total", "status=\"" + std::to_string(outcome.status) + "\"").add();
    if (outcome.prompt_wait && *outcome.prompt_wait > std::chrono::microseconds{0}) {
        this->parts.metrics.get_histogram("direct_prompt_wait_ms")
            .record(std::chrono::duration<double, std::milli>{*outcome.prompt_wait}.count());
    }
    const routing_snapshot snapshot = this->state.current();
    const auto age = this->state.store_age();
    this->parts.log.info(
        "request_done", {{"request", request.request_id},
                         {"route", request.matched_route->name},
                         {"workspace", request.workspace.value_or("none")},
                         {"service", request.service},
                         {"status", std::to_string(outcome.status)},
                         {"endpoints", Poco::cat(std::string{","}, outcome.endpoints.begin(), outcome.endpoints.end())},
                         {"events", std::to_string(outcome.events)},
                         {"ms", std::to_string(duration.count())},
                         {"prompt_tokens", std::to_string(request.prompt_tokens)},
                         {"prompt_wait_ms", to_text(outcome.prompt_wait)},
                         {"first_event_ms", to_text(outcome.first_event)},
                         {"longest_gap_ms", std::to_string(outcome.longest_gap.count())},
                         {"routing", std::to_string(request.routing->version())},
                         {"list", std::to_string(snapshot.endpoints ? snapshot.endpoints->revision : 0)},
                         {"age_ms", age ? std::to_string(age->count()) : "none"},
                         {"reason", outcome.reason}});
}

} // namespace pomelohoist
