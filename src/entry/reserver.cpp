#include "entry/reserver.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <array>

namespace pomelohoist {

/// One endpoint that was sent a reserve request, with its response.
struct queried_endpoint {
    endpoint_handle handle;
    result<inner::reserve_response> response{failure{error_kind::timeout, "not asked"}};

    [[nodiscard]] bool offers() const { return this->response && this->response->accepted; }
    [[nodiscard]] failure refusal() const {
        return this->response ? failure{this->response->refusal, this->response->reason} : this->response.last_error();
    }
};

struct reserver::round {
    inner::reserve_request request;
    std::vector<endpoint_handle> eligible;
    std::vector<queried_endpoint> endpoints;
};

namespace {

std::chrono::milliseconds time_left(const entry_request& request, steady_time now) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
}

inner::reserve_request to_message(const entry_request& request, std::uint64_t version, const net_address& sender,
                                  std::chrono::milliseconds left) {
    inner::reserve_request message;
    message.request_id = request.request_id;
    message.workspace = request.workspace;
    message.application = request.application;
    message.configuration_version = version;
    message.sender_address = sender;
    message.digest = request.digest;
    message.prefix_hash = request.prefix_hash;
    message.prompt_tokens = request.prompt_tokens;
    message.max_output_tokens = request.max_output_tokens;
    message.importance = request.importance;
    message.deadline_ms = static_cast<std::uint32_t>(left.count());
    message.idempotent = request.idempotent;
    return message;
}

// Precedence of the refusals when there is no offer: of all endpoints' refusals, the first kind in this list is
// reported.
constexpr std::array refusal_precedence{error_kind::overloaded, error_kind::draining,    error_kind::endpoint_failed,
                                        error_kind::timeout,    error_kind::unreachable, error_kind::not_ready};

reserve_refusal to_refusal(const failure& reason) {
    reserve_refusal refused;
    refused.reason = reason;
    switch (reason.kind) {
    case error_kind::overloaded:
        refused.retryable = true;
        refused.final_when_all_tried = true;
        break;
    case error_kind::stale_configuration:
        refused.retryable = true;
        refused.spends_budget = false;
        break;
    case error_kind::draining:
        refused.reason = {error_kind::no_endpoint, "the endpoints that were asked are draining: " + reason.reason};
        refused.retryable = true;
        refused.spends_budget = false;
        refused.final_when_all_tried = true;
        break;
    case error_kind::not_ready:
        refused.retryable = true;
        refused.spends_budget = false;
        refused.final_when_all_tried = true;
        break;
    case error_kind::endpoint_failed:
    case error_kind::timeout:
    case error_kind::unreachable:
        refused.reason = {error_kind::no_endpoint, "no endpoint accepts the request: " + reason.reason};
        refused.retryable = true;
        break;
    default:
        break;
    }
    return refused;
}

reserve_refusal combine_refusals(const std::vector<queried_endpoint>& endpoints) {
    std::chrono::milliseconds retry_after{0};
    const queried_endpoint* deciding = &endpoints.front();
    const auto rank_of = [](const queried_endpoint& queried) {
        return std::find(refusal_precedence.begin(), refusal_precedence.end(), queried.refusal().kind) -
               refusal_precedence.begin();
    };
    for (const queried_endpoint& queried : endpoints) {
        if (rank_of(queried) < rank_of(*deciding)) {
            deciding = &queried;
        }
        if (queried.response && queried.response->retry_after_ms != 0) {
            const std::chrono::milliseconds wait{queried.response->retry_after_ms};
            retry_after = retry_after.count() == 0 ? wait : std::min(retry_after, wait);
        }
    }
    reserve_refusal refused = to_refusal(deciding->refusal());
    refused.retry_after = retry_after;
    return refused;
}

} // namespace

reserver::reserver(const daemon_context& process, inner::datagram_endpoint& endpoint, configuration_source& source,
                   candidate_policy& policy, const offer_ranking& order, cooldown_list& endpoint_cooldowns,
                   ticket_canceller& cancels)
    : context(process), calls(endpoint), configurations(source), candidates(policy), ranking(order),
      cooldowns(endpoint_cooldowns), canceller(cancels) {}

reserve_outcome reserver::reserve(const entry_request& request, std::set<std::string>& tried,
                                  const trace_context& parent) {
    scoped_span span{this->context.spans, this->context.time, this->context.random, "entry.reserve", parent};
    reserve_outcome outcome;
    // Configuration pulls do not count as retries, because no endpoint refused for lack of capacity. The number of
    // pulls is bounded in case two agents disagree about the version of the configuration.
    for (std::uint32_t pulls = 0; pulls <= config::max_configuration_pulls; ++pulls) {
        const configuration_ptr declared = this->configurations.current();
        round current_round;
        outcome = this->query_agents(request, *declared, tried, current_round);
        if (outcome.accepted) {
            span.set("endpoint", outcome.accepted->target.name);
            return outcome;
        }
        if (!this->pull_newer(*declared, current_round)) {
            break;
        }
    }
    span.mark_failed(outcome.refused.reason.reason);
    return outcome;
}

reserve_outcome reserver::query_agents(const entry_request& request, const configuration& declared,
                                       std::set<std::string>& tried, round& current_round) {
    reserve_outcome outcome;
    const auto left = time_left(request, this->context.time.now());
    if (left.count() <= 0) {
        outcome.refused.reason = {error_kind::deadline_exceeded, "the deadline passed before an endpoint accepted"};
        return outcome;
    }
    const std::vector<endpoint_handle> picked =
        this->choose_endpoints(request, declared, tried, current_round, outcome.refused);
    if (picked.empty()) {
        return outcome;
    }
    current_round.request = to_message(request, declared.version(), this->calls.local_address(), left);
    const inner::payload content = inner::to_payload(current_round.request);
    std::vector<inner::datagram_call> requests;
    for (const endpoint_handle handle : picked) {
        current_round.endpoints.push_back({handle});
        requests.push_back({declared.at(handle).agent, content});
    }
    this->decode_responses(this->calls.call_all(requests, std::min(config::reserve_timeout, left)), current_round);
    this->record_refusals(declared, current_round, tried);
    outcome = this->accept_best(declared, current_round);
    const bool all_tried = std::all_of(
        current_round.eligible.begin(), current_round.eligible.end(),
        [&declared, &tried](const endpoint_handle handle) { return tried.contains(declared.at(handle).name); });
    // A full, draining or not ready endpoint would refuse again. For an endpoint that did not respond a retry is
    // useful, because a datagram may have been lost.
    outcome.refused.retryable = outcome.refused.retryable && !(all_tried && outcome.refused.final_when_all_tried);
    return outcome;
}

std::vector<endpoint_handle> reserver::choose_endpoints(const entry_request& request, const configuration& declared,
                                                        const std::set<std::string>& tried, round& current_round,
                                                        reserve_refusal& refused) {
    const std::vector<endpoint_handle> reachable =
        declared.reachable(request.workspace, request.application, request.kind, request.serves);
    if (reachable.empty()) {
        const bool served = declared.is_served(request.kind, request.serves);
        refused.reason = served ? failure{error_kind::forbidden,
                                          "no selector lets this workspace and application reach " + request.serves}
                                : failure{error_kind::no_endpoint, "no endpoint serves " + request.serves};
        return {};
    }
    std::vector<routing_candidate> remaining;
    for (const endpoint_handle handle : reachable) {
        const endpoint& target = declared.at(handle);
        if (!this->configurations.is_leaving(target.host)) {
            const bool in_cooldown = tried.contains(target.name) || this->cooldowns.in_cooldown(target.name);
            current_round.eligible.push_back(handle);
            remaining.push_back({handle, hash64(target.name), 0, in_cooldown});
        }
    }
    if (remaining.empty()) {
        refused.reason = {error_kind::no_endpoint, "all endpoints for " + request.serves + " are on leaving hosts"};
        return {};
    }
    return this->candidates.pick({request.prefix_hash, config::reserve_candidates}, remaining);
}

void reserver::decode_responses(const std::vector<result<inner::packet>>& responses, round& current_round) {
    for (std::size_t i = 0; i < responses.size(); ++i) {
        current_round.endpoints[i].response = responses[i] ? inner::decode_body<inner::reserve_response>(*responses[i])
                                                           : result<inner::reserve_response>{responses[i].last_error()};
    }
}

void reserver::record_refusals(const configuration& declared, const round& current_round,
                               std::set<std::string>& tried) {
    for (const queried_endpoint& queried : current_round.endpoints) {
        const std::string& name = declared.at(queried.handle).name;
        const error_kind kind = queried.refusal().kind;
        if (queried.offers()) {
            this->cooldowns.clear(name);
            continue;
        }
        if (kind != error_kind::stale_configuration) {
            tried.insert(name);
        }
        if (kind == error_kind::draining) {
            this->cooldowns.start_cooldown(name, config::draining_cooldown);
        } else if (kind == error_kind::timeout || kind == error_kind::endpoint_failed ||
                   kind == error_kind::not_ready) {
            this->cooldowns.start_cooldown(name, config::failed_cooldown);
        }
    }
}

reserve_outcome reserver::accept_best(const configuration& declared, const round& current_round) {
    reserve_outcome outcome;
    std::vector<routing_offer> offers;
    std::vector<const queried_endpoint*> offering;
    for (const queried_endpoint& queried : current_round.endpoints) {
        if (queried.offers()) {
            const inner::offer& offered = *queried.response->accepted;
            offers.push_back({queried.handle, offered.expected_first_token_ms, offered.cached_prefix_tokens,
                              offered.active_requests});
            offering.push_back(&queried);
        } else if (queried.refusal().kind == error_kind::request_quarantined) {
            // Agents receive suspect reports at different times, so one agent's quarantine refusal overrides the
            // offers of all other agents.
            this->cancel_offers(declared, current_round, endpoint_handle{});
            outcome.refused = to_refusal(queried.refusal());
            return outcome;
        }
    }
    if (offers.empty()) {
        outcome.refused = combine_refusals(current_round.endpoints);
        return outcome;
    }
    const queried_endpoint& best = *offering[this->ranking.rank(offers).front()];
    this->cancel_offers(declared, current_round, best.handle);
    outcome.accepted = reservation{declared.at(best.handle), *best.response->accepted, current_round.request};
    return outcome;
}

void reserver::cancel_offers(const configuration& declared, const round& current_round, endpoint_handle kept) {
    for (const queried_endpoint& queried : current_round.endpoints) {
        if (queried.offers() && queried.handle != kept) {
            this->canceller.cancel_later(declared.at(queried.handle).agent, queried.response->accepted->granted, false);
        }
    }
}

bool reserver::pull_newer(const configuration& declared, const round& current_round) {
    for (const queried_endpoint& queried : current_round.endpoints) {
        if (queried.response && queried.refusal().kind == error_kind::stale_configuration) {
            const std::uint64_t version = queried.response->configuration_version;
            const net_address& agent = declared.at(queried.handle).agent;
            const result<done> pulled = this->configurations.pull_from(agent, version);
            if (pulled && this->configurations.current()->version() > declared.version()) {
                return true;
            }
        }
    }
    return false;
}

} // namespace pomelohoist
