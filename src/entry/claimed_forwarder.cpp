#include "entry/claimed_forwarder.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t attempt_id_bytes = 16;

// The claim digest includes the method, because the request digest leaves it out and PUT and DELETE on one path are
// different requests.
std::string claim_digest(const entry_request& request) {
    return sha256_hex(request.method + ":" + request.digest);
}

// Without the claim row the entry cannot know whether an earlier attempt under the key ran, so it must not report
// "not run" to the caller.
request_failure unknown_claim(const failure& reason) {
    return {{error_kind::store_unavailable,
             "this attempt was not run, but an earlier one under the key may have run; the claim cannot be read: " +
                 reason.reason},
            std::nullopt,
            {}};
}

} // namespace

struct claimed_forwarder::claimed_request {
    const entry_request& request;
    response_sink& caller;
    retry_state retry;
    attempt_log log;
    response_buffer response;
    std::optional<claim_record> previous; ///< claim of an attempt that is proved not to have run
    forward_outcome outcome;
};

claimed_forwarder::claimed_forwarder(const forward_services& shared, std::string process_name, claim_access& rows)
    : services(shared), name(std::move(process_name)), claims(rows),
      retries(shared.context.metrics.get_counter("entry_retries_total")) {}

forward_outcome claimed_forwarder::forward(const entry_request& request, response_sink& caller,
                                           const trace_context& parent) {
    claimed_request claimed{
        request, caller, {this->services.context.time, this->services.budget, this->retries}, {}, {}, std::nullopt, {}};
    while (true) {
        const reserve_outcome reserved = this->services.tickets.reserve(request, claimed.retry.tried, parent);
        if (!reserved.accepted) {
            if (reserved.refused.retryable && claimed.retry.wait_for_retry(request, reserved.refused.spends_budget)) {
                continue;
            }
            return this->refuse(claimed, reserved.refused);
        }
        claimed.log.record_reserved(reserved.accepted->offer.granted);
        const std::optional<claim_record> own = this->obtain_claim(claimed, *reserved.accepted);
        if (!own) {
            this->services.canceller.cancel_later(reserved.accepted->target.agent, reserved.accepted->offer.granted,
                                                  false);
            return claimed.outcome;
        }
        const std::optional<forward_outcome> ended = this->run_claimed(claimed, *reserved.accepted, *own, parent);
        if (ended) {
            return *ended;
        }
        claimed.previous = own;
        claimed.retry.tried.insert(reserved.accepted->target.name);
    }
}

// Without a ticket the request cannot run now, but it may be the caller's retry of a request that ran under the same
// key. The caller then gets the outcome of that run instead of the refusal.
forward_outcome claimed_forwarder::refuse(claimed_request& claimed, const reserve_refusal& refused) {
    const request_failure not_accepted{refused.reason, claimed.log.proof(), refused.retry_after};
    if (claimed.previous) {
        this->send_failure(claimed, not_accepted);
        return claimed.outcome;
    }
    const result<std::optional<claim_record>> found = this->claims.find(claimed.request);
    if (!found) {
        this->send_failure(claimed, unknown_claim(found.last_error()));
        return claimed.outcome;
    }
    if (!*found) {
        this->send_failure(claimed, not_accepted);
        return claimed.outcome;
    }
    const resolution resolved = this->resolve(claimed, **found);
    if (resolved.may_take_over) {
        this->send_failure(claimed, not_accepted);
    } else {
        this->send_resolution(claimed, resolved);
    }
    return claimed.outcome;
}

// Returns the claim of this attempt, or nothing when a response or a failure has been sent to the caller instead.
std::optional<claim_record> claimed_forwarder::obtain_claim(claimed_request& claimed, const reservation& accepted) {
    claim new_claim;
    new_claim.attempt = this->services.context.random.next_hex(attempt_id_bytes);
    new_claim.body_digest = claim_digest(claimed.request);
    new_claim.agent = accepted.target.agent;
    new_claim.granted = accepted.offer.granted;
    result<claim_record> current = claimed.previous
                                       ? this->claims.take_over(claimed.request, *claimed.previous, new_claim)
                                       : this->claims.insert(claimed.request, new_claim);
    for (std::uint32_t round = 0; round < config::max_attempts; ++round) {
        if (!current) {
            this->send_failure(claimed, unknown_claim(current.last_error()));
            return std::nullopt;
        }
        if (current->content.attempt == new_claim.attempt) {
            return *current;
        }
        const resolution resolved = this->resolve(claimed, *current);
        if (!resolved.may_take_over) {
            this->send_resolution(claimed, resolved);
            return std::nullopt;
        }
        const claim_record previous = *current;
        current = this->claims.take_over(claimed.request, previous, new_claim);
    }
    this->send_failure(claimed, {{error_kind::in_progress, "other attempts hold the claim"}, std::nullopt, {}});
    return std::nullopt;
}

// Returns nothing when the request is proved not to have run and may be retried.
std::optional<forward_outcome> claimed_forwarder::run_claimed(claimed_request& claimed, const reservation& accepted,
                                                              const claim_record& own, const trace_context& parent) {
    claimed.response.clear();
    const run_report report = this->services.runner.run(
        {claimed.request, accepted, claimed.response, claimed.caller, claimed.log, parent, claimed.request.body, true});
    if (report.ending != run_ending::complete) {
        return this->handle_incomplete_run(claimed, own, report);
    }
    const result<done> stored = this->claims.complete(claimed.request, own, claimed.response.content());
    if (!stored) {
        // The agent still has the response, so a retry of the request receives it.
        this->services.context.log.warn("claim_not_completed", {{"request_id", claimed.request.request_id},
                                                                {"reason", stored.last_error().reason}});
    }
    this->send_stored(claimed, claimed.response.content());
    return claimed.outcome;
}

std::optional<forward_outcome>
claimed_forwarder::handle_incomplete_run(claimed_request& claimed, const claim_record& own, const run_report& report) {
    if (!claimed.log.proof()) {
        // After the connection to the agent broke, the agent may still be running the request or may have completed
        // it. The agent is therefore queried for the outcome.
        const resolution resolved = this->resolve(claimed, own);
        if (!resolved.may_take_over) {
            this->send_resolution(claimed, resolved);
            return claimed.outcome;
        }
        claimed.log.record_ticket_state(inner::ticket_state::not_started);
    }
    if (is_transient(report) && claimed.retry.wait_for_retry(claimed.request, true)) {
        return std::nullopt;
    }
    this->send_failure(claimed, classify_failure(report.reason, claimed.log, false));
    return claimed.outcome;
}

claimed_forwarder::resolution claimed_forwarder::resolve(const claimed_request& claimed, const claim_record& found) {
    if (found.content.body_digest != claim_digest(claimed.request)) {
        return {false,
                std::nullopt,
                {error_kind::idempotency_conflict, "the key was used for another request of this workspace"}};
    }
    if (found.content.state == claim_state::completed && found.content.response) {
        return {false, found.content.response, {}};
    }
    return this->query_outcome(claimed, found);
}

claimed_forwarder::resolution claimed_forwarder::query_outcome(const claimed_request& claimed,
                                                               const claim_record& found) {
    const auto response = inner::call_stream<inner::outcome_response>(
        found.content.agent, this->name, inner::outcome_request{found.content.granted}, config::outcome_timeout);
    if (!response) {
        return {false,
                std::nullopt,
                {error_kind::outcome_unknown,
                 "the agent that got the request does not answer: " + response.last_error().reason}};
    }
    switch (response->state) {
    case inner::ticket_state::not_started:
        return {true, std::nullopt, {}};
    case inner::ticket_state::running:
        return {false, std::nullopt, {error_kind::in_progress, "the request is running"}};
    case inner::ticket_state::completed:
        if (response->response) {
            this->claims.complete(claimed.request, found, *response->response);
            return {false, response->response, {}};
        }
        break;
    default:
        break;
    }
    return {false, std::nullopt, {error_kind::outcome_unknown, "the request may have run; its answer is not known"}};
}

void claimed_forwarder::send_resolution(claimed_request& claimed, const resolution& resolved) {
    if (resolved.response) {
        this->send_stored(claimed, *resolved.response);
        return;
    }
    this->send_failure(claimed, {resolved.reason, claimed.log.proof(), {}});
}

void claimed_forwarder::send_stored(claimed_request& claimed, const inner::stored_response& response) {
    std::vector<inner::header_field> headers;
    if (!response.content_type.empty()) {
        headers.push_back({"Content-Type", response.content_type});
    }
    // A caller may close its connection as soon as it has received the response. It counts as disconnected only if it
    // closed the connection before the response was sent, so the check precedes the sending.
    claimed.outcome = {std::nullopt, claimed.caller.is_disconnected()};
    claimed.caller.send_response({response.http_status, headers, response.body});
}

void claimed_forwarder::send_failure(claimed_request& claimed, const request_failure& failed) {
    claimed.outcome = {failed.reason.kind, claimed.caller.is_disconnected()};
    claimed.caller.send_failure(failed);
}

} // namespace pomelohoist
