#include "direct/direct_forwarder.h"

#include <pomelohoist/config.h>

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
constexpr double shortest_return_s = 0.3;
constexpr double return_spread_s = 0.9;

std::vector<inner::header_field> end_to_end(const endpoint_answer& answer) {
    std::vector<inner::header_field> fields;
    std::copy_if(answer.headers.begin(), answer.headers.end(), std::back_inserter(fields),
                 [](const inner::header_field& field) { return !is_connection_field(field.name); });
    return fields;
}

} // namespace

void send_own_failure(response_sink& sink, const failure& reason, double jitter) {
    const error_info& row = error_info_of(reason.kind);
    std::vector<inner::header_field> headers{{"Content-Type", "application/json"}};
    if (row.retry_after_s != 0) {
        std::array<char, 16> text{};
        std::snprintf(text.data(), text.size(), "%.2f", shortest_return_s + return_spread_s * jitter);
        headers.push_back({"Retry-After", text.data()});
    }
    nlohmann::json body;
    body["error"]["kind"] = row.name;
    body["error"]["message"] = reason.reason;
    body["error"]["not_run"] = row.not_run;
    sink.send_response({row.http_status, headers, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
}

direct_forwarder::direct_forwarder(const forwarding_parts& shared, const direct_request& wanted, response_sink& answer,
                                   caller_watchpoint& connection_watched)
    : parts(shared), request(wanted), sink(answer), caller(connection_watched),
      events(wanted.raw.header("Last-Event-Id").value_or("")) {}

forwarding_outcome direct_forwarder::run() {
    this->parts.budget.note_request(this->request.service);
    while (true) {
        if (const std::optional<failure> none = this->find_place()) {
            this->finish_without_place(*none);
            return this->outcome;
        }
        const attempt_end end = this->attempt();
        if (!this->may_repeat(end)) {
            this->finish(end);
            return this->outcome;
        }
    }
}

void direct_forwarder::finish_without_place(const failure& reason) {
    if (this->has_begun || this->outcome.may_have_run) {
        this->finish(attempt_end::failed);
    } else {
        this->refuse(reason);
    }
}

std::optional<failure> direct_forwarder::find_place() {
    const steady_time now = this->parts.time.now();
    // A request that has been sent already has no time to wait in line again.
    const std::chrono::milliseconds longest = this->is_stream() ? config::longest_stream_wait : config::longest_wait;
    const place_request wanted{this->request.service,
                               this->is_stream(),
                               this->request.importance,
                               this->outcome.endpoints,
                               std::min(now + longest, this->request.deadline),
                               std::min(now + config::longest_reopen_wait, this->request.deadline)};
    place_result placed = this->parts.places.acquire(wanted, this->caller);
    if (placed.outcome == place_outcome::placed) {
        this->place = std::move(placed.place);
        return std::nullopt;
    }
    if (placed.outcome == place_outcome::caller_gone) {
        return failure{error_kind::timeout, "the caller has left"};
    }
    if (placed.outcome == place_outcome::closed) {
        return failure{error_kind::not_ready, "the groups of the service form anew"};
    }
    return placed.outcome == place_outcome::full
               ? failure{error_kind::overloaded, "all endpoints of the service are full"}
               : failure{error_kind::no_endpoint, "no endpoint of the service can be used"};
}

direct_forwarder::attempt_end direct_forwarder::attempt() {
    this->outcome.endpoints.push_back(this->place->endpoint.instance);
    const attempt_end end = this->exchange();
    if (end == attempt_end::answered) {
        this->parts.avoidance.note_success(this->place->digest);
    } else if (end == attempt_end::unreached || end == attempt_end::failed) {
        this->parts.avoidance.note_failure(this->place->digest);
    } else if (end == attempt_end::refused) {
        this->parts.avoidance.note_refusal(this->place->digest);
    }
    this->outcome.may_have_run =
        this->outcome.may_have_run || end == attempt_end::failed || end == attempt_end::endpoint_failed;
    this->connection.reset();
    this->place.reset();
    return end;
}

direct_forwarder::attempt_end direct_forwarder::exchange() {
    const endpoint_record& endpoint = this->place->endpoint;
    // A request that runs at most once gets a fresh connection: an idle one may be closed as it is used, and then
    // nobody knows whether the request ran.
    if (this->request.way->is_idempotent()) {
        this->connection = this->parts.connections.take(endpoint.instance);
    }
    if (!this->connection) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline - this->parts.time.now());
        if (left <= std::chrono::milliseconds{0}) {
            return attempt_end::out_of_time;
        }
        auto opened = endpoint_connection::open(endpoint.address, std::min(left, config::endpoint_connect_timeout),
                                                this->parts.time);
        if (!opened) {
            this->outcome.reason = opened.last_error().reason;
            return attempt_end::unreached;
        }
        this->connection = std::move(*opened);
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline - this->parts.time.now());
    if (left <= std::chrono::milliseconds{0}) {
        return attempt_end::out_of_time;
    }
    if (this->caller.is_disconnected()) {
        return attempt_end::caller_gone;
    }
    ++this->sends;
    const std::string resume_after = this->events.passed() > 0 ? this->events.last_id() : "";
    if (!this->connection->send(
            encode_for_endpoint(this->request, this->parts.names, endpoint.instance, left, resume_after))) {
        this->outcome.reason = "the connection was lost while sending";
        return attempt_end::failed;
    }
    const steady_time until = this->answer_limit();
    endpoint_answer answer;
    const attempt_end read = this->read_answer_head(answer, until);
    if (read != attempt_end::answered) {
        return read;
    }
    if (this->is_stream() && answer.status == status_ok) {
        return this->take_stream(answer);
    }
    return this->take_whole(answer, until);
}

steady_time direct_forwarder::answer_limit() const {
    const steady_time now = this->parts.time.now();
    const bool can_repeat =
        this->request.way->retry == retry_policy::safe && this->sends < this->request.way->max_endpoints;
    if (!can_repeat) {
        return this->request.deadline;
    }
    // Half of the time that is left: enough for all but the slowest answers, and the other half for another endpoint.
    return now + (this->request.deadline - now) / 2;
}

direct_forwarder::attempt_end direct_forwarder::judge(exchange_state state, const char* what) {
    switch (state) {
    case exchange_state::ready:
    case exchange_state::complete:
        return attempt_end::answered;
    case exchange_state::caller_gone:
        this->outcome.reason = "the caller has left";
        return attempt_end::caller_gone;
    case exchange_state::timed_out:
        this->outcome.reason = std::string{"no answer in time: "} + what;
        return this->parts.time.now() >= this->request.deadline ? attempt_end::out_of_time : attempt_end::failed;
    case exchange_state::broken:
    case exchange_state::count:
        break;
    }
    this->outcome.reason = std::string{"the endpoint broke off: "} + what;
    return attempt_end::failed;
}

direct_forwarder::attempt_end direct_forwarder::read_answer_head(endpoint_answer& answer, steady_time until) {
    const bool is_head = this->request.raw.method == "HEAD";
    constexpr int max_stray_answers = 3;
    for (int stray = 0; stray < max_stray_answers; ++stray) {
        const attempt_end end =
            this->judge(this->connection->read_head(is_head, until, this->caller, answer), "before the head");
        if (end != attempt_end::answered) {
            return end;
        }
        const std::optional<std::string> answered_id = answer.header(this->parts.names.request_id);
        if (!answered_id || *answered_id == this->request.request_id) {
            return attempt_end::answered;
        }
        // The late answer to an earlier request on this connection; the one to this request follows.
        std::string skipped;
        exchange_state state = exchange_state::ready;
        while (state == exchange_state::ready) {
            state = this->connection->read_body(skipped, until, this->caller);
        }
        if (state != exchange_state::complete || this->connection->is_unframed()) {
            return this->judge(state == exchange_state::complete ? exchange_state::broken : state,
                               "within the answer to another request");
        }
    }
    return this->judge(exchange_state::broken, "answers to other requests only");
}

direct_forwarder::attempt_end direct_forwarder::take_whole(const endpoint_answer& answer, steady_time until) {
    std::string body;
    exchange_state state = exchange_state::ready;
    while (state == exchange_state::ready && body.size() <= config::max_response_bytes) {
        state = this->connection->read_body(body, until, this->caller);
    }
    const attempt_end end = this->judge(state == exchange_state::ready ? exchange_state::broken : state, "in the body");
    if (end != attempt_end::answered) {
        return end;
    }
    if (answer.header(this->parts.names.not_run) || answer.status == status_misdirected) {
        this->outcome.reason = "the endpoint refused with " + std::to_string(answer.status);
        this->keep_connection();
        if (answer.status == status_misdirected) {
            this->parts.avoidance.note_failure(this->place->digest);
        }
        return attempt_end::refused;
    }
    const bool is_signed = answer.header(this->parts.names.signature).has_value();
    if (answer.status < first_redirect && (!is_signed || answer.header("Content-Encoding"))) {
        this->outcome.reason = "a success without the endpoint's signature, or in another encoding";
        return attempt_end::failed;
    }
    this->keep_connection();
    const full_response whole{answer.status, end_to_end(answer), std::move(body)};
    if (answer.status >= first_server_error) {
        this->outcome.reason = "the endpoint failed with " + std::to_string(answer.status);
        this->endpoint_failure = whole;
        return attempt_end::endpoint_failed;
    }
    this->outcome.status = answer.status;
    this->sink.send_response(whole);
    return attempt_end::answered;
}

bool direct_forwarder::pass_events(const endpoint_answer& answer, const std::string& bytes) {
    if (bytes.empty()) {
        return true;
    }
    if (!this->has_begun) {
        this->has_begun = true;
        this->outcome.status = answer.status;
        this->sink.begin_stream(answer.status, end_to_end(answer));
    }
    this->outcome.events = this->events.passed();
    return this->sink.send_piece(bytes);
}

direct_forwarder::attempt_end direct_forwarder::take_stream(const endpoint_answer& answer) {
    if (!answer.header(this->parts.names.signature) || answer.header("Content-Encoding")) {
        this->outcome.reason = "a stream without the endpoint's signature, or in another encoding";
        return attempt_end::failed;
    }
    this->events.drop_rest();
    while (true) {
        std::string piece;
        const exchange_state state = this->connection->read_body(piece, this->request.deadline, this->caller);
        const std::optional<std::string> whole = this->events.take(piece);
        if (!whole) {
            this->outcome.reason = "an event came out of order";
            return attempt_end::failed;
        }
        if (!this->pass_events(answer, *whole)) {
            this->outcome.reason = "the caller has left";
            return attempt_end::caller_gone;
        }
        if (state == exchange_state::complete) {
            return this->end_stream();
        }
        if (state != exchange_state::ready) {
            return this->judge(state, "in the stream");
        }
    }
}

direct_forwarder::attempt_end direct_forwarder::end_stream() {
    // A run that stops within an event did not end by itself.
    if (!this->events.rest().empty() || !this->has_begun) {
        return this->judge(exchange_state::broken, "within an event");
    }
    this->keep_connection();
    this->sink.end_stream();
    return attempt_end::answered;
}

void direct_forwarder::keep_connection() {
    this->parts.connections.keep(this->place->endpoint.instance, std::move(this->connection));
}

bool direct_forwarder::may_repeat(attempt_end end) {
    const route& way = *this->request.way;
    const auto left = this->request.deadline - this->parts.time.now();
    if (left <= std::chrono::milliseconds{0}) {
        return false;
    }
    switch (end) {
    case attempt_end::unreached:
        return this->outcome.endpoints.size() <= config::max_unreached_endpoints;
    case attempt_end::refused:
        // It has not run, so it counts for the budget and not for the endpoints that may run it. What runs at most once
        // stays with the endpoint that it was sent to.
        --this->sends;
        if (way.max_endpoints < 2 || ++this->refusals > config::max_refusals) {
            return false;
        }
        break;
    case attempt_end::failed:
    case attempt_end::endpoint_failed:
        if (!way.is_idempotent()) {
            return false;
        }
        break;
    case attempt_end::answered:
    case attempt_end::caller_gone:
    case attempt_end::out_of_time:
    case attempt_end::count:
        return false;
    }
    return this->sends < way.max_endpoints &&
           this->parts.budget.try_spend(this->request.service, this->parts.board.entries());
}

void direct_forwarder::finish(attempt_end end) {
    if (end == attempt_end::answered) {
        return;
    }
    if (this->has_begun || end == attempt_end::caller_gone) {
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
    send_own_failure(this->sink, reason, this->parts.random.next_fraction());
}

} // namespace pomelohoist
