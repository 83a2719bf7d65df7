#include "agent/agent_handler.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

using inner::payload;
using inner::ticket_state;
using inner::to_payload;

payload failure_payload(const failure& reason) {
    return to_payload(inner::failure_response{reason.kind, reason.reason});
}

/// Decodes the request, passes it to `serve` and encodes the response.
template <class Request, class Function>
payload decode_and_serve(const inner::packet& received, const Function& serve) {
    const result<Request> request = inner::decode_body<Request>(received);
    if (!request) {
        return failure_payload(request.last_error());
    }
    return to_payload(serve(*request));
}

} // namespace

agent_handler::agent_handler(const run_parts& shared_parts, agent_identity self, configuration_source& configurations,
                             suspect_list& known_suspects)
    : parts(shared_parts), identity(std::move(self)), source(configurations), suspects(known_suspects) {}

payload agent_handler::handle_datagram(const inner::packet& request) {
    switch (request.type) {
    case inner::message_type::reserve_request:
        return decode_and_serve<inner::reserve_request>(request,
                                                        [this](const auto& message) { return this->reserve(message); });
    case inner::message_type::cancel_request:
        return decode_and_serve<inner::cancel_request>(request,
                                                       [this](const auto& message) { return this->cancel(message); });
    case inner::message_type::outcome_request:
        return decode_and_serve<inner::outcome_request>(request, [this](const auto& message) {
            inner::outcome_response response = this->outcome(message);
            // A stored response may be larger than a datagram; the entry requests it over TCP.
            response.response.reset();
            return response;
        });
    case inner::message_type::announce:
        return decode_and_serve<inner::announce>(
            request, [this](const auto& message) { return this->source.handle_announce(message); });
    case inner::message_type::suspect_report:
        return decode_and_serve<inner::suspect_report>(
            request, [this](const auto& message) { return this->record_suspects(message); });
    case inner::message_type::status_request:
        return to_payload(this->status());
    default:
        return failure_payload({error_kind::bad_request, "an agent does not serve this message"});
    }
}

void agent_handler::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    if (first.type != inner::message_type::run_request) {
        static_cast<void>(channel.write(this->serve_stream(first)));
        return;
    }
    const result<inner::run_request> request = inner::decode_body<inner::run_request>(first);
    if (!request) {
        static_cast<void>(channel.write(failure_payload(request.last_error())));
        return;
    }
    serve_run(this->parts, *request, channel);
}

payload agent_handler::serve_stream(const inner::packet& first) {
    switch (first.type) {
    case inner::message_type::outcome_request:
        return decode_and_serve<inner::outcome_request>(first,
                                                        [this](const auto& message) { return this->outcome(message); });
    case inner::message_type::pull_request:
        return decode_and_serve<inner::pull_request>(
            first, [this](const auto& message) { return this->source.handle_pull(message); });
    case inner::message_type::suspect_query:
        return to_payload(this->suspects.state());
    default:
        return failure_payload({error_kind::bad_request, "an agent does not serve this message by TCP"});
    }
}

// A retransmitted datagram gets a second ticket, and the unused ticket expires. Caching responses by sender and call
// number instead would return an old ticket to a restarted entry, whose call numbers start from the beginning.
inner::reserve_response agent_handler::reserve(const inner::reserve_request& request) {
    for (const result<done>& checked : {this->check_configuration(request), this->check_access(request)}) {
        if (!checked) {
            const std::chrono::seconds retry_after{error_info_of(checked.last_error().kind).retry_after_s};
            return this->refuse(request, checked.last_error(), retry_after);
        }
    }
    return this->make_offer(request);
}

result<done> agent_handler::check_configuration(const inner::reserve_request& request) {
    const std::uint64_t own_version = this->source.current()->version();
    if (request.configuration_version > own_version) {
        const result<done> pulled = this->source.pull_from(request.sender_address, request.configuration_version);
        if (!pulled || this->source.current()->version() < request.configuration_version) {
            return failure{error_kind::not_ready, "the agent has an older configuration"};
        }
    }
    const std::uint64_t current_version = this->source.current()->version();
    if (current_version == 0) {
        return failure{error_kind::not_ready, "the agent has no configuration yet"};
    }
    if (current_version > request.configuration_version) {
        return failure{error_kind::stale_configuration, "the agent has version " + std::to_string(current_version)};
    }
    return done{};
}

result<done> agent_handler::check_access(const inner::reserve_request& request) const {
    const configuration_ptr current = this->source.current();
    if (this->stopping) {
        return failure{error_kind::draining, "the agent is stopping"};
    }
    if (this->source.is_leaving(this->identity.host)) {
        return failure{error_kind::draining, "the host is leaving"};
    }
    if (!current->find_endpoint(this->identity.endpoint_name).is_valid()) {
        return failure{error_kind::draining, "the endpoint is not declared"};
    }
    if (!current->may_reach(request.workspace, request.application, this->identity.endpoint_name)) {
        return failure{error_kind::draining, "no selector lets the workspace reach the endpoint"};
    }
    if (this->suspects.is_quarantined(request.digest)) {
        return failure{error_kind::request_quarantined, "endpoints died while they ran this request"};
    }
    if (!this->parts.monitor.is_ready()) {
        return failure{error_kind::not_ready, "the endpoint is not ready"};
    }
    return done{};
}

inner::reserve_response agent_handler::make_offer(const inner::reserve_request& request) {
    const load_estimate expected =
        this->parts.scheduler.estimate(queue_item_of(this->parts, request, ticket{}), size_of(request));
    const std::optional<queue_refusal> refusal = refuse_if_late(expected.wait, time_left_of(request));
    if (refusal) {
        return this->refuse(request, refusal->reason, refusal->retry_after);
    }
    const result<ticket> issued = this->parts.tickets.issue(request.digest);
    if (!issued) {
        return this->refuse(request, issued.last_error(), config::ticket_lifetime);
    }
    this->parts.context.metrics.get_counter("agent_reserves_total", "outcome=\"offer\"").add();
    inner::offer offered;
    offered.granted = *issued;
    offered.expected_wait_ms = static_cast<std::uint32_t>(expected.wait.count());
    offered.expected_first_token_ms = static_cast<std::uint32_t>(expected.first_token.count());
    offered.cached_prefix_tokens = expected.cached_tokens;
    offered.active_requests =
        static_cast<std::uint32_t>(this->parts.scheduler.running() + this->parts.scheduler.queued());
    inner::reserve_response response;
    response.accepted = offered;
    response.configuration_version = this->source.current()->version();
    return response;
}

inner::reserve_response agent_handler::refuse(const inner::reserve_request& request, const failure& reason,
                                              std::chrono::milliseconds retry_after) {
    const std::string kind{error_info_of(reason.kind).name};
    this->parts.context.metrics.get_counter("agent_reserves_total", "outcome=\"" + kind + "\"").add();
    this->parts.context.log.debug("reserve_refused", {{"request_id", request.request_id}, {"kind", kind}});
    inner::reserve_response response;
    response.refusal = reason.kind;
    response.reason = reason.reason;
    response.retry_after_ms = static_cast<std::uint32_t>(retry_after.count());
    response.configuration_version = this->source.current()->version();
    return response;
}

inner::cancel_response agent_handler::cancel(const inner::cancel_request& request) {
    const ticket_state state = this->parts.tickets.cancel(request.target);
    if (state == ticket_state::not_started) {
        this->parts.scheduler.on_voided(request.target);
    }
    if (state != ticket_state::running) {
        return {state};
    }
    if (request.abort_running) {
        this->parts.watch.abort(request.target);
    }
    return {ticket_state::started};
}

inner::outcome_response agent_handler::outcome(const inner::outcome_request& request) {
    const ticket_state state = this->parts.tickets.cancel(request.target);
    if (state == ticket_state::not_started) {
        this->parts.scheduler.on_voided(request.target);
    }
    // A response may be kept longer than the record of its finished ticket, so unknown tickets are looked up too.
    if (state == ticket_state::started || state == ticket_state::unknown) {
        std::optional<inner::stored_response> stored = this->parts.responses.find(request.target);
        if (stored) {
            return {ticket_state::completed, std::move(stored)};
        }
    }
    return {state, std::nullopt};
}

inner::suspect_ack agent_handler::record_suspects(const inner::suspect_report& report) {
    this->suspects.record(report);
    this->parts.context.log.warn("suspects_reported", {{"event_id", report.event_id}});
    return {report.event_id};
}

inner::status_response agent_handler::status() {
    const configuration_ptr current = this->source.current();
    inner::status_response response;
    response.name = this->identity.name;
    response.role = "agent";
    response.data_centre = this->identity.data_centre;
    response.configuration_version = current->version();
    response.host_list_version = this->source.host_list_version();
    response.queued = static_cast<std::uint32_t>(this->parts.scheduler.queued());
    response.running = static_cast<std::uint32_t>(this->parts.scheduler.running());
    response.draining = this->stopping || this->source.is_leaving(this->identity.host) ||
                        !current->find_endpoint(this->identity.endpoint_name).is_valid();
    response.healthy = this->parts.monitor.is_ready();
    return response;
}

} // namespace pomelohoist
