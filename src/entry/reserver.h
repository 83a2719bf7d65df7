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
    inner::offer granted;
    inner::reserve_request request; ///< as sent to the agent

    friend bool operator==(const reservation&, const reservation&) = default;
};

/// Why there is no ticket. Nothing was run by asking.
struct reserve_refusal {
    failure reason;
    std::chrono::milliseconds retry_after{0};
    bool retryable{false};            ///< other endpoints, or the same ones later, may accept
    bool spends_budget{true};         ///< asking again adds load where load may be the cause
    bool final_when_all_tried{false}; ///< asking the same endpoints again is useless

    friend bool operator==(const reserve_refusal&, const reserve_refusal&) = default;
};

struct reserve_outcome {
    std::optional<reservation> accepted;
    reserve_refusal refused; ///< meaningful only without a reservation

    friend bool operator==(const reserve_outcome&, const reserve_outcome&) = default;
};

/// Asks several agents at once for a ticket and takes the best offer.
class reserver {
  public:
    reserver(const daemon_context& process, inner::datagram_endpoint& endpoint, configuration_source& source,
             candidate_policy& policy, const offer_ranking& order, cooldown_list& lately_failed,
             ticket_canceller& cancels);

    /// @param tried names of endpoints that failed or refused for this request; asked again only when no other is
    /// left. The call adds those that refuse now.
    reserve_outcome reserve(const entry_request& request, std::set<std::string>& tried, const trace_context& parent);

  private:
    struct round;
    reserve_outcome ask(const entry_request& request, const configuration& declared, std::set<std::string>& tried,
                        round& asked);
    std::vector<endpoint_handle> choose(const entry_request& request, const configuration& declared,
                                        const std::set<std::string>& tried, round& asked, reserve_refusal& refused);
    void read_replies(const std::vector<result<inner::packet>>& replies, round& asked);
    void note_refusals(const configuration& declared, const round& asked, std::set<std::string>& tried);
    reserve_outcome take_best(const configuration& declared, const round& asked);
    void cancel_offers(const configuration& declared, const round& asked, endpoint_handle kept);
    bool pull_newer(const configuration& declared, const round& asked);

    const daemon_context& context;
    inner::datagram_endpoint& calls;
    configuration_source& configurations;
    candidate_policy& candidates;
    const offer_ranking& ranking;
    cooldown_list& marks;
    ticket_canceller& canceller;
};

} // namespace pomelohoist
