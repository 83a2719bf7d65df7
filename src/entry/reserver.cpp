#include "entry/reserver.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <array>

namespace pomelohoist {

/// One endpoint that was asked, with its answer.
struct asked_endpoint {
    endpoint_handle handle;
    result<inner::reserve_response> reply{failure{error_kind::timeout, "not asked"}};

    [[nodiscard]] bool offers() const { return this->reply && this->reply->accepted; }
    [[nodiscard]] failure refusal() const {
        return this->reply ? failure{this->reply->refusal, this->reply->reason} : this->reply.last_error();
    }
};

struct reserver::round {
    inner::reserve_request request;
    std::vector<endpoint_handle> eligible;
    std::vector<asked_endpoint> endpoints;
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

// Which refusal decides when there is no offer; the first kind of the list that was given wins.
constexpr std::array deciding_order{error_kind::overloaded, error_kind::draining,    error_kind::endpoint_failed,
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

reserve_refusal sum_up(const std::vector<asked_endpoint>& endpoints) {
    std::chrono::milliseconds retry_after{0};
    const asked_endpoint* deciding = &endpoints.front();
    const auto rank_of = [](const asked_endpoint& asked) {
        return std::find(deciding_order.begin(), deciding_order.end(), asked.refusal().kind) - deciding_order.begin();
    };
    for (const asked_endpoint& asked : endpoints) {
        if (rank_of(asked) < rank_of(*deciding)) {
            deciding = &asked;
        }
        if (asked.reply && asked.reply->retry_after_ms != 0) {
            const std::chrono::milliseconds wait{asked.reply->retry_after_ms};
            retry_after = retry_after.count() == 0 ? wait : std::min(retry_after, wait);
        }
    }
    reserve_refusal refused = to_refusal(deciding->refusal());
    refused.retry_after = retry_after;
    return refused;
}

} // namespace

reserver::reserver(const daemon_context& process, inner::datagram_endpoint& endpoint, configuration_source& source,
                   candidate_policy& policy, const offer_ranking& order, cooldown_list& lately_failed,
                   ticket_canceller& cancels)
    : context(process), calls(endpoint), configurations(source), candidates(policy), ranking(order),
      marks(lately_failed), canceller(cancels) {}

reserve_outcome reserver::reserve(const entry_request& request, std::set<std::string>& tried,
                                  const trace_context& parent) {
    scoped_span span{this->context.spans, this->context.time, this->context.random, "entry.reserve", parent};
    reserve_outcome outcome;
    // Pulls are not retries: nothing was refused for lack of room. Their number is bounded in case two agents disagree.
    for (std::uint32_t pulls = 0; pulls <= config::max_configuration_pulls; ++pulls) {
        const configuration_ptr declared = this->configurations.current();
        round asked;
        outcome = this->ask(request, *declared, tried, asked);
        if (outcome.accepted) {
            span.set("endpoint", outcome.accepted->target.name);
            return outcome;
        }
        if (!this->pull_newer(*declared, asked)) {
            break;
        }
    }
    span.mark_failed(outcome.refused.reason.reason);
    return outcome;
}

reserve_outcome reserver::ask(const entry_request& request, const configuration& declared, std::set<std::string>& tried,
                              round& asked) {
    reserve_outcome outcome;
    const auto left = time_left(request, this->context.time.now());
    if (left.count() <= 0) {
        outcome.refused.reason = {error_kind::deadline_exceeded, "the deadline passed before an endpoint accepted"};
        return outcome;
    }
    const std::vector<endpoint_handle> chosen = this->choose(request, declared, tried, asked, outcome.refused);
    if (chosen.empty()) {
        return outcome;
    }
    asked.request = to_message(request, declared.version(), this->calls.local_address(), left);
    const inner::payload content = inner::to_payload(asked.request);
    std::vector<inner::datagram_call> requests;
    for (const endpoint_handle handle : chosen) {
        asked.endpoints.push_back({handle});
        requests.push_back({declared.at(handle).agent, content});
    }
    this->read_replies(this->calls.call_all(requests, std::min(config::reserve_timeout, left)), asked);
    this->note_refusals(declared, asked, tried);
    outcome = this->take_best(declared, asked);
    const bool all_tried =
        std::all_of(asked.eligible.begin(), asked.eligible.end(), [&declared, &tried](const endpoint_handle handle) {
            return tried.contains(declared.at(handle).name);
        });
    // A full or draining endpoint gives the same answer again; only a silent one may have lost a datagram.
    outcome.refused.retryable = outcome.refused.retryable && !(all_tried && outcome.refused.final_when_all_tried);
    return outcome;
}

std::vector<endpoint_handle> reserver::choose(const entry_request& request, const configuration& declared,
                                              const std::set<std::string>& tried, round& asked,
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
    std::vector<routing_candidate> staying;
    for (const endpoint_handle handle : reachable) {
        const endpoint& target = declared.at(handle);
        if (!this->configurations.is_leaving(target.host)) {
            const bool avoided = tried.contains(target.name) || this->marks.in_cooldown(target.name);
            asked.eligible.push_back(handle);
            staying.push_back({handle, hash64(target.name), 0, avoided});
        }
    }
    if (staying.empty()) {
        refused.reason = {error_kind::no_endpoint, "all endpoints for " + request.serves + " are on leaving hosts"};
        return {};
    }
    return this->candidates.pick({request.prefix_hash, config::reserve_candidates}, staying);
}

void reserver::read_replies(const std::vector<result<inner::packet>>& replies, round& asked) {
    for (std::size_t i = 0; i < replies.size(); ++i) {
        asked.endpoints[i].reply = replies[i] ? inner::decode_body<inner::reserve_response>(*replies[i])
                                              : result<inner::reserve_response>{replies[i].last_error()};
    }
}

void reserver::note_refusals(const configuration& declared, const round& asked, std::set<std::string>& tried) {
    for (const asked_endpoint& answered : asked.endpoints) {
        const std::string& name = declared.at(answered.handle).name;
        const error_kind kind = answered.refusal().kind;
        if (answered.offers()) {
            this->marks.clear(name);
            continue;
        }
        if (kind != error_kind::stale_configuration) {
            tried.insert(name);
        }
        if (kind == error_kind::draining) {
            this->marks.start_cooldown(name, config::draining_cooldown);
        } else if (kind == error_kind::timeout || kind == error_kind::endpoint_failed ||
                   kind == error_kind::not_ready) {
            this->marks.start_cooldown(name, config::failed_cooldown);
        }
    }
}

reserve_outcome reserver::take_best(const configuration& declared, const round& asked) {
    reserve_outcome outcome;
    std::vector<routing_offer> offers;
    std::vector<const asked_endpoint*> offering;
    for (const asked_endpoint& answered : asked.endpoints) {
        if (answered.offers()) {
            const inner::offer& given = *answered.reply->accepted;
            offers.push_back(
                {answered.handle, given.expected_first_token_ms, given.cached_prefix_tokens, given.active_requests});
            offering.push_back(&answered);
        } else if (answered.refusal().kind == error_kind::request_quarantined) {
            // Agents learn of suspects at different times; one that knows speaks for all.
            this->cancel_offers(declared, asked, endpoint_handle{});
            outcome.refused = to_refusal(answered.refusal());
            return outcome;
        }
    }
    if (offers.empty()) {
        outcome.refused = sum_up(asked.endpoints);
        return outcome;
    }
    const asked_endpoint& best = *offering[this->ranking.rank(offers).front()];
    this->cancel_offers(declared, asked, best.handle);
    outcome.accepted = reservation{declared.at(best.handle), *best.reply->accepted, asked.request};
    return outcome;
}

void reserver::cancel_offers(const configuration& declared, const round& asked, endpoint_handle kept) {
    for (const asked_endpoint& answered : asked.endpoints) {
        if (answered.offers() && answered.handle != kept) {
            this->canceller.cancel_later(declared.at(answered.handle).agent, answered.reply->accepted->granted, false);
        }
    }
}

bool reserver::pull_newer(const configuration& declared, const round& asked) {
    for (const asked_endpoint& answered : asked.endpoints) {
        if (answered.reply && answered.refusal().kind == error_kind::stale_configuration) {
            const std::uint64_t version = answered.reply->configuration_version;
            const net_address& agent = declared.at(answered.handle).agent;
            const result<done> pulled = this->configurations.pull_from(agent, version);
            if (pulled && this->configurations.current()->version() > declared.version()) {
                return true;
            }
        }
    }
    return false;
}

} // namespace pomelohoist
