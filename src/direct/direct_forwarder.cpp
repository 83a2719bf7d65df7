#include "direct/direct_forwarder.h"

#include "http/connection_fields.h"

#include <pomelohoist/config.h>

#include <Poco/String.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t first_redirect = 300;
constexpr std::uint16_t status_misdirected = 421;
constexpr std::uint16_t first_server_error = 500;
constexpr std::uint16_t status_unavailable = 503;
constexpr double min_retry_after_s = 0.3;
constexpr double retry_after_spread_s = 0.9;
constexpr std::uint16_t max_jittered_retry_s = 10; // longer values are sent without jitter

} // namespace

void send_error_response(response_sink& sink, const failure& reason, double jitter,
                         std::chrono::milliseconds earliest) {
    const error_info& info = error_info_of(reason.kind);
    std::vector<inner::header_field> headers{{"Content-Type", "application/json"}};
    if (info.retry_after_s != 0) {
        std::array<char, 16> text{};
        const double spread_s =
            std::chrono::duration<double>{earliest}.count() + min_retry_after_s + retry_after_spread_s * jitter;
        std::snprintf(text.data(), text.size(), "%.2f",
                      info.retry_after_s > max_jittered_retry_s ? info.retry_after_s : spread_s);
        headers.push_back({"Retry-After", text.data()});
    }
    nlohmann::json body;
    body["error"]["kind"] = info.name;
    body["error"]["message"] = reason.reason;
    body["error"]["not_run"] = info.not_run;
    sink.send_response(
        {info.http_status, headers, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

direct_forwarder::direct_forwarder(const forwarding_parts& process_parts, const direct_request& resolved,
                                   response_sink& caller_response, caller_connection_monitor& caller_connection)
    : parts(process_parts), request(resolved),
      more_important(process_parts.levels.record(resolved.service, resolved.matched_route->importance)),
      sink(caller_response), caller(caller_connection),
      events(resolved.raw.header("Last-Event-Id").value_or(""),
             event_extensions{Poco::toLower(process_parts.names.weights_version), false}) {}

forwarding_outcome direct_forwarder::run() {
    this->parts.budget.record_request(this->request.service);
    this->parts.crashes.on_request(this->request);
    while (true) {
        if (const std::optional<failure> permit_failure = this->acquire_permit()) {
            this->finish_without_permit(*permit_failure);
            if (!this->kept_back.empty()) {
                this->outcome.reason += "; " + this->kept_back;
            }
            return this->outcome;
        }
        const attempt_end end = this->attempt();
        if (!this->may_retry(end)) {
            this->finish(end);
            return this->outcome;
        }
    }
}

void direct_forwarder::finish_without_permit(const failure& reason) {
    if (this->has_started_stream || this->outcome.may_have_run) {
        this->finish(attempt_end::failed);
    } else {
        this->refuse(reason);
    }
}

direct_forwarder::attempt_end direct_forwarder::attempt() {
    this->outcome.endpoints.push_back(this->permit->endpoint.instance);
    const attempt_end end = this->exchange();
    if (end == attempt_end::responded) {
        this->parts.cooldowns.record_success(this->permit->digest);
    } else if (end == attempt_end::unreached || end == attempt_end::failed) {
        this->parts.cooldowns.record_failure(this->permit->digest);
    } else if (end == attempt_end::refused) {
        this->parts.cooldowns.record_refusal(this->permit->digest);
    }
    this->report_run(end);
    this->outcome.may_have_run =
        this->outcome.may_have_run || end == attempt_end::failed || end == attempt_end::endpoint_failed;
    this->connection.reset();
    this->permit.reset();
    return end;
}

void direct_forwarder::report_run(attempt_end end) {
    const bool is_complete = end == attempt_end::responded || end == attempt_end::endpoint_failed;
    if (this->is_connection_lost && (is_complete || end == attempt_end::failed)) {
        this->parts.crashes.on_lost_run(
            this->request, this->permit->endpoint,
            {this->has_response_begun, this->outcome.events, is_complete, this->is_processed});
    } else if (is_complete && this->is_processed) {
        this->parts.crashes.on_response(this->request);
    }
}

direct_forwarder::attempt_end direct_forwarder::exchange() {
    this->is_connection_lost = false;
    this->has_response_begun = false;
    this->is_processed = false;
    const endpoint_record& endpoint = this->permit->endpoint;
    // A request that runs at most once gets a new connection: the endpoint may close an idle connection while the
    // request is sent on that connection, and the entry then cannot know whether the request ran.
    if (this->request.matched_route->is_idempotent()) {
        this->connection = this->parts.connections.acquire(endpoint.instance);
    }
    if (!this->connection) {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline - this->parts.time.now());
        if (remaining <= std::chrono::milliseconds{0}) {
            return attempt_end::out_of_time;
        }
        auto opened = http_connection::open(endpoint.address, std::min(remaining, config::endpoint_connect_timeout),
                                            this->parts.time);
        if (!opened) {
            this->outcome.reason = opened.last_error().reason;
            return attempt_end::unreached;
        }
        this->connection = std::move(*opened);
    }
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline - this->parts.time.now());
    if (remaining <= std::chrono::milliseconds{0}) {
        return attempt_end::out_of_time;
    }
    if (this->caller.is_disconnected()) {
        return attempt_end::caller_disconnected;
    }
    const std::string resume_after = this->events.forwarded_count() > 0 ? this->events.last_id() : "";
    result<std::string> bytes =
        encode_for_endpoint(this->request, this->parts.names, endpoint.instance, remaining, resume_after);
    if (!bytes) {
        this->outcome.reason = bytes.last_error().reason;
        return attempt_end::unreached;
    }
    ++this->sends;
    if (!this->connection->send(std::move(*bytes))) {
        this->outcome.reason = "the connection was lost while sending";
        this->is_connection_lost = true;
        return attempt_end::failed;
    }
    const steady_time until = this->response_time_limit();
    http_response_head response;
    const attempt_end read = this->read_response_head(response, until);
    if (read != attempt_end::responded) {
        return read;
    }
    this->has_response_begun = true;
    // A failing endpoint may respond with an error before it processes the request, so that an error does not show that
    // the request is harmless.
    this->is_processed = this->is_signed(response) && response.status < first_server_error;
    this->record_statements(response);
    if (this->is_stream() && response.status == status_ok) {
        return this->forward_stream(response);
    }
    return this->forward_full_response(response, until);
}

bool direct_forwarder::is_signed(const http_response_head& response) const {
    return !response.header(this->parts.names.signature).value_or("").empty();
}

void direct_forwarder::record_statements(const http_response_head& response) {
    const endpoint_record& endpoint = this->permit->endpoint;
    const bool is_signed = this->is_signed(response);
    const std::optional<std::string> limit = response.header(this->parts.names.rate_limit);
    // Only a signed response without the field lifts a limit: others may not come from the endpoint.
    if (limit || is_signed) {
        this->parts.statements.record_response(endpoint, limit);
    }
    const std::optional<std::string> cold = response.header(this->parts.names.cold_left_ms);
    if (cold && is_signed) {
        this->parts.statements.record_cold(endpoint, *cold);
    }
    // Endpoints do not sign refusals. A misdirected request was refused by another endpoint.
    const bool is_refusal =
        response.header(this->parts.names.not_run).has_value() && response.status != status_misdirected;
    const std::optional<std::string> leaving = response.header(this->parts.names.leaving);
    const std::optional<std::string> retry_after =
        response.status == status_unavailable ? response.header("Retry-After") : std::nullopt;
    if ((leaving && !is_signed && !is_refusal) || (retry_after && !is_refusal)) {
        this->parts.log.warn("endpoint_statement_ignored",
                             {{"endpoint", endpoint.instance}, {"status", std::to_string(response.status)}});
    }
    if (leaving && (is_signed || is_refusal)) {
        this->parts.statements.record_leaving(endpoint, *leaving);
    }
    if (retry_after && is_refusal) {
        this->parts.statements.record_pause(endpoint, *retry_after);
    }
}

steady_time direct_forwarder::response_time_limit() const {
    const steady_time now = this->parts.time.now();
    const bool can_retry = this->request.matched_route->retry == retry_policy::safe &&
                           this->sends < this->request.matched_route->max_endpoints;
    if (!can_retry) {
        return this->request.deadline;
    }
    // Half of the remaining time is enough for all but the slowest responses and leaves the other half for a retry at
    // another endpoint.
    return now + (this->request.deadline - now) / 2;
}

direct_forwarder::attempt_end direct_forwarder::classify_exchange(exchange_state state, const char* phase) {
    switch (state) {
    case exchange_state::ready:
    case exchange_state::complete:
        return attempt_end::responded;
    case exchange_state::cancelled:
        this->outcome.reason = "the caller has left";
        return attempt_end::caller_disconnected;
    case exchange_state::timed_out:
        this->outcome.reason = std::string{"no answer in time: "} + phase;
        return this->parts.time.now() >= this->request.deadline ? attempt_end::out_of_time : attempt_end::failed;
    case exchange_state::broken:
    case exchange_state::count:
        break;
    }
    this->is_connection_lost = this->connection->is_lost();
    this->outcome.reason = std::string{"the endpoint broke off: "} + phase;
    if (const std::string& defect = this->connection->defect(); !defect.empty()) {
        this->outcome.reason += ": " + defect;
    }
    return attempt_end::failed;
}

direct_forwarder::attempt_end direct_forwarder::read_response_head(http_response_head& response, steady_time until) {
    const bool is_head = this->request.raw.method == "HEAD";
    constexpr int max_stray_responses = 3;
    for (int stray = 0; stray < max_stray_responses; ++stray) {
        const attempt_end end = this->classify_exchange(
            this->connection->read_head(is_head, until, this->caller, response), "before the head");
        if (end != attempt_end::responded) {
            return end;
        }
        // The end of a head that was cut off may stand before this head. Fields of both then look like one head.
        if (response.repeats(this->parts.names.request_id) || response.repeats(this->parts.names.signature)) {
            return this->classify_exchange(exchange_state::broken, "a head with the fields of two responses");
        }
        const std::optional<std::string> response_id = response.header(this->parts.names.request_id);
        if (!response_id || *response_id == this->request.request_id) {
            return attempt_end::responded;
        }
        // This is a late response to an earlier request on the connection. Its body is skipped; the response to the
        // current request follows.
        std::size_t skipped_bytes = 0;
        exchange_state state = exchange_state::ready;
        while (state == exchange_state::ready) {
            std::string skipped;
            state = this->connection->read_body(skipped, until, this->caller);
            skipped_bytes += skipped.size();
            if (skipped_bytes > config::max_stray_response_bytes) {
                state = exchange_state::broken;
            }
        }
        if (state != exchange_state::complete || this->connection->is_unframed()) {
            return this->classify_exchange(state == exchange_state::complete ? exchange_state::broken : state,
                                           "within the answer to another request");
        }
    }
    return this->classify_exchange(exchange_state::broken, "answers to other requests only");
}

direct_forwarder::attempt_end direct_forwarder::forward_full_response(const http_response_head& response,
                                                                      steady_time until) {
    std::string body;
    buffer_reservation reservation{this->parts.buffers};
    exchange_state state = exchange_state::ready;
    while (state == exchange_state::ready) {
        state = this->connection->read_body(body, until, this->caller);
        if (!reservation.grow_to(body.size())) {
            state = exchange_state::broken;
        }
    }
    if (state == exchange_state::complete && this->has_endpoint_ended()) {
        state = exchange_state::broken;
    }
    const attempt_end end = this->classify_exchange(state, "in the body");
    if (end != attempt_end::responded) {
        return end;
    }
    if (response.header(this->parts.names.not_run) || response.status == status_misdirected) {
        this->outcome.reason = "the endpoint refused with " + std::to_string(response.status);
        this->keep_connection();
        if (response.status == status_misdirected) {
            this->parts.cooldowns.record_failure(this->permit->digest);
        }
        return attempt_end::refused;
    }
    if (response.status < first_redirect && (!this->is_signed(response) || response.header("Content-Encoding"))) {
        this->outcome.reason = "a success without the endpoint's signature, or in another encoding";
        return attempt_end::failed;
    }
    if (this->has_started_stream) {
        this->outcome.reason = "a resumed stream was answered with " + std::to_string(response.status);
        return attempt_end::failed;
    }
    this->keep_connection();
    const full_response forwarded{
        response.status, response_fields(response.headers, this->request.raw.method == "HEAD"), std::move(body)};
    if (response.status >= first_server_error) {
        this->outcome.reason = "the endpoint failed with " + std::to_string(response.status);
        this->endpoint_failure = forwarded;
        return attempt_end::endpoint_failed;
    }
    this->outcome.status = response.status;
    this->sink.send_response(forwarded);
    return attempt_end::responded;
}

void direct_forwarder::record_events() {
    // An endpoint sends the first event after it has read the prompt.
    this->permit->record_read();
    const steady_time now = this->parts.time.now();
    if (!this->outcome.first_event) {
        this->outcome.first_event = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->request.arrived);
    } else {
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->last_event_at);
        this->outcome.longest_gap = std::max(this->outcome.longest_gap, gap);
        if (const engine_speed* speed = this->engine()) {
            this->parts.capacity.record_pause(this->request.service, *speed, gap,
                                              std::chrono::milliseconds{this->request.matched_route->gap_target_ms});
        }
    }
    this->last_event_at = now;
}

bool direct_forwarder::forward_events(const http_response_head& response, const std::string& event_bytes) {
    if (event_bytes.empty()) {
        return true;
    }
    this->record_events();
    if (!this->has_started_stream) {
        this->has_started_stream = true;
        this->outcome.status = response.status;
        this->sink.begin_stream(response.status, response_fields(response.headers, false));
    }
    if (this->outcome.events < config::proven_events && this->events.forwarded_count() >= config::proven_events) {
        this->parts.crashes.on_response(this->request);
    }
    this->outcome.events = this->events.forwarded_count();
    return this->sink.send_piece(event_bytes);
}

direct_forwarder::attempt_end direct_forwarder::forward_stream(const http_response_head& response) {
    if (!this->is_signed(response) || response.header("Content-Encoding")) {
        this->outcome.reason = "a stream without the endpoint's signature, or in another encoding";
        return attempt_end::failed;
    }
    this->events.begin_run();
    while (true) {
        std::string piece;
        const exchange_state state = this->connection->read_body(piece, this->request.deadline, this->caller);
        if (!this->forward_events(response, this->events.extract_events(piece))) {
            this->outcome.reason = "the caller has left";
            return attempt_end::caller_disconnected;
        }
        if (this->events.is_broken()) {
            this->outcome.reason = "an event came out of order, was too long or malformed";
            return attempt_end::failed;
        }
        if (state == exchange_state::complete) {
            return this->end_stream();
        }
        if (state != exchange_state::ready) {
            return this->classify_exchange(state, "in the stream");
        }
    }
}

direct_forwarder::attempt_end direct_forwarder::end_stream() {
    // A stream that ends within an event, or before its first event, was interrupted.
    if (!this->events.incomplete_event().empty() || !this->has_started_stream) {
        return this->classify_exchange(exchange_state::broken, "within an event");
    }
    if (this->has_endpoint_ended()) {
        return this->classify_exchange(exchange_state::broken, "between two events");
    }
    this->keep_connection();
    this->sink.end_stream();
    return attempt_end::responded;
}

bool direct_forwarder::has_endpoint_ended() {
    // The kernel closes the connections of a process that has crashed, and a body without a length then ends in the
    // same way as a complete one.
    return this->connection->is_unframed() && !this->parts.crashes.is_running(this->permit->endpoint);
}

void direct_forwarder::keep_connection() {
    this->is_connection_lost = this->connection->is_lost();
    this->parts.connections.release(this->permit->endpoint.instance, std::move(this->connection));
}

bool direct_forwarder::may_retry(attempt_end end) {
    const route& matched_route = *this->request.matched_route;
    const auto remaining = this->request.deadline - this->parts.time.now();
    if (remaining <= std::chrono::milliseconds{0}) {
        return false;
    }
    switch (end) {
    case attempt_end::unreached:
        return this->outcome.endpoints.size() <= config::max_unreached_endpoints;
    case attempt_end::refused:
        // The request has not run, so the send counts for the retry budget but not for `max_endpoints`. A request that
        // may run at only one endpoint is not sent to another endpoint.
        --this->sends;
        if (matched_route.max_endpoints < 2 || ++this->refusals > config::max_refusals) {
            return false;
        }
        break;
    case attempt_end::failed:
    case attempt_end::endpoint_failed:
        if (!matched_route.is_idempotent() || this->parts.crashes.is_suspect(this->request)) {
            return false;
        }
        break;
    case attempt_end::responded:
    case attempt_end::caller_disconnected:
    case attempt_end::out_of_time:
    case attempt_end::count:
        return false;
    }
    return this->sends < matched_route.max_endpoints &&
           this->parts.budget.try_spend(this->request.service, this->parts.tracker.entries());
}

void direct_forwarder::finish(attempt_end end) {
    if (end == attempt_end::responded) {
        return;
    }
    if (this->has_started_stream || end == attempt_end::caller_disconnected) {
        this->caller.abort();
        return;
    }
    if (this->endpoint_failure) {
        this->outcome.status = this->endpoint_failure->http_status;
        this->sink.send_response(*this->endpoint_failure);
        return;
    }
    if (end == attempt_end::out_of_time) {
        this->refuse({error_kind::deadline_exceeded, this->outcome.reason});
        return;
    }
    if (end == attempt_end::failed || this->outcome.may_have_run) {
        this->refuse({error_kind::endpoint_failed, this->outcome.reason});
        return;
    }
    this->refuse({end == attempt_end::refused ? error_kind::not_ready : error_kind::no_endpoint, this->outcome.reason});
}

void direct_forwarder::refuse(const failure& reason) {
    this->outcome.status = error_info_of(reason.kind).http_status;
    this->outcome.reason = reason.reason;
    send_error_response(this->sink, reason, this->parts.random.next_fraction(), this->pause_left);
}

} // namespace pomelohoist
