#pragma once

#include "common/daemon.h"
#include "entry/entry_request.h"
#include "entry/ticket_canceller.h"
#include "inner/datagram_endpoint.h"
#include "routing/cooldown_list.h"
#include "spread/configuration_source.h"

#include <pomelohoist/routing.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelohoist {

/// A ticket of an endpoint's agent.
struct reservation {
    endpoint target;
    inner::offer offer;
    inner::reserve_request request; ///< as sent to the agent

    friend bool operator==(const reservation&, const reservation&) = default;
};

/// Why the request got no ticket. A reserve request does not run the caller's request.
struct reserve_refusal {
    failure reason;
    std::chrono::milliseconds retry_after{0};
    bool retryable{false};    ///< another endpoint may accept the request, or the same endpoint may accept it later
    bool spends_budget{true}; ///< load may be the cause of the refusal, and a retry would add to it
    bool final_when_all_tried{false}; ///< no retry once all endpoints were tried, since they would refuse again

    friend bool operator==(const reserve_refusal&, const reserve_refusal&) = default;
};

struct reserve_outcome {
    std::optional<reservation> accepted;
    reserve_refusal refused; ///< meaningful only without a reservation

    friend bool operator==(const reserve_outcome&, const reserve_outcome&) = default;
};

/// Sends reserve requests to several agents at once and accepts the best offer.
class reserver {
  public:
    reserver(const daemon_context& process, inner::datagram_endpoint& endpoint, configuration_source& source,
             candidate_policy& policy, const offer_ranking& order, cooldown_list& endpoint_cooldowns,
             ticket_canceller& cancels);

    /// @param tried names of endpoints that failed or refused this request; they are queried again only when no other
    /// endpoint is left. Endpoints that refuse during this call are added.
    reserve_outcome reserve(const entry_request& request, std::set<std::string>& tried, const trace_context& parent);

  private:
    struct round;
    reserve_outcome query_agents(const entry_request& request, const configuration& declared,
                                 std::set<std::string>& tried, round& current_round);
    std::vector<endpoint_handle> choose_endpoints(const entry_request& request, const configuration& declared,
                                                  const std::set<std::string>& tried, round& current_round,
                                                  reserve_refusal& refused);
    void decode_responses(const std::vector<result<inner::packet>>& responses, round& current_round);
    void record_refusals(const configuration& declared, const round& current_round, std::set<std::string>& tried);
    reserve_outcome accept_best(const configuration& declared, const round& current_round);
    void cancel_offers(const configuration& declared, const round& current_round, endpoint_handle kept);
    bool pull_newer(const configuration& declared, const round& current_round);

    const daemon_context& context;
    inner::datagram_endpoint& calls;
    configuration_source& configurations;
    candidate_policy& candidates;
    const offer_ranking& ranking;
    cooldown_list& cooldowns;
    ticket_canceller& canceller;
};

} // namespace pomelohoist
