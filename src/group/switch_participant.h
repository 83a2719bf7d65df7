#pragma once

#include "inner/switch_messages.h"
#include "lease/lease.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// State of one rank's agent in the protocol that switches the expert map of a group (description in
/// docs/design.md, 4.7; formal model in models/map_switch.pml).
namespace pomelohoist {

using inner::map_id;
using inner::map_start;
using inner::switch_ballot;

/// Interface to query which maps an agent can use immediately.
class map_contents {
  public:
    virtual ~map_contents() = default;
    /// @returns true when the agent has the content of the map and the rank has the weights
    [[nodiscard]] virtual bool is_usable(const map_id& map) const = 0;
};

/// Position of an agent in its group.
struct group_position {
    std::string group;
    std::uint32_t rank{0};
    std::uint32_t ranks{1};
    std::uint64_t incarnation{0}; ///< random number of this process, never 0

    friend bool operator==(const group_position&, const group_position&) = default;
};

/// Request of a rank for permission to start a step.
struct step_request {
    std::uint64_t step{0};
    std::optional<map_start> running; ///< map of the previous step; empty before the rank's first step

    friend bool operator==(const step_request&, const step_request&) = default;
};

/// Thread-safe. A new object is in the state of a restarted agent: it recovers before it grants a step.
class switch_participant {
  public:
    /// @attention all references must outlive the participant
    switch_participant(group_position own_position, const clock& time_source, fencing_gate& fencing,
                       const map_contents& usable_maps);

    /// @returns the map of the step, or nothing while the rank has to wait
    /// @attention a granted step counts as started; a retry for the same step returns the same map
    std::optional<map_start> grant_step(const step_request& request);

    /// Records the report of a rank that is not ready to start the step. A rank that waits for other ranks has to
    /// report too: its restarted agent responds to no query before the report, and the other ranks may wait for that
    /// response.
    void report(const step_request& request);

    inner::switch_vote handle_prepare(const inner::switch_prepare& prepare);
    inner::switch_state handle_query(const inner::switch_query& query);
    inner::switch_state handle_decision(const inner::switch_decision& decision);

    /// Starts a switch as the coordinator and records the own rank's promise.
    /// @returns the prepare message for all other ranks, or the reason why the switch must not be started
    result<inner::switch_prepare> open_switch(std::uint64_t epoch, const map_start& next_map);
    /// Commits or aborts a switch that this agent started as the coordinator.
    /// @param all_promised true commits the switch, false aborts it
    /// @returns the decision for all other ranks, or nothing when a recovery with a higher ballot has taken over the
    /// switch
    std::optional<inner::switch_decision> close_switch(const switch_ballot& own_ballot, bool all_promised);

    /// Sets the ballots of all other ranks, which a restarted agent has to read before it recovers.
    /// @param peer_ballots ballots of all other ranks, read since the start of this process
    void set_ballots(const std::vector<switch_ballot>& peer_ballots);
    /// Starts a recovery with a ballot higher than all ballots seen.
    /// @returns the query for all other ranks, or nothing when there is nothing to recover
    std::optional<inner::switch_query> open_recovery();
    /// Concludes a recovery.
    /// @param states responses of all other ranks
    /// @param cold_start map to use when no rank has a committed map; empty when the store did not respond
    /// @returns the decision for all other ranks, or nothing when the responses do not allow one
    std::optional<inner::switch_decision> close_recovery(const switch_ballot& own_ballot,
                                                         const std::vector<inner::switch_state>& states,
                                                         const std::optional<map_start>& cold_start);
    /// Records a ballot that another rank has seen, so that the next proposal of this rank is higher.
    void observe_ballot(const switch_ballot& peer_ballot);

    /// @returns true when this agent is recovering and can respond to queries, or when its promise has been open for at
    /// least the limit
    [[nodiscard]] bool needs_recovery(std::chrono::milliseconds limit) const;
    /// @returns true while a restarted agent whose rank has reported still has to read the ballots of the other ranks
    [[nodiscard]] bool needs_ballots() const;
    [[nodiscard]] bool is_recovering() const;
    [[nodiscard]] bool has_open_promise() const;
    [[nodiscard]] std::optional<map_start> in_force() const;
    /// @returns the first step that has not been granted
    [[nodiscard]] std::uint64_t next_step() const;

  private:
    struct open_promise {
        inner::switch_prepare prepare;
        steady_time since;
    };

    // The caller of a private function holds the mutex.
    void record_report(const step_request& request);
    [[nodiscard]] std::string refusal_reason(const inner::switch_prepare& prepare) const;
    inner::switch_vote vote_on(const inner::switch_prepare& prepare);
    [[nodiscard]] bool can_respond() const;
    [[nodiscard]] inner::switch_state make_response(const switch_ballot& ballot) const;
    [[nodiscard]] bool accepts(const inner::switch_decision& decision) const;
    void apply(const map_start& decided_map);
    [[nodiscard]] switch_ballot next_ballot(std::uint64_t epoch) const;

    group_position position;
    const clock& time;
    fencing_gate& gate;
    const map_contents& maps;
    mutable std::mutex mutex;
    bool has_rank_reported{false}; ///< the rank has reported its step and map
    bool ballots_read{false};      ///< the ballots of all other ranks were read since the start of this process
    bool recovering{true};
    std::uint64_t next_to_grant{0};            ///< first step that has not been granted
    std::optional<map_start> committed_map;    ///< latest committed map
    std::optional<map_start> previous_map;     ///< map of the steps before `committed_map->from_step`
    std::optional<map_start> last_granted_map; ///< map of the step before `next_to_grant`
    std::optional<open_promise> promise;
    switch_ballot ballot;              ///< highest ballot that this agent has responded to, promised or read
    switch_ballot highest_refused;     ///< highest ballot whose switch this agent has refused
    switch_ballot highest_peer_ballot; ///< highest ballot that other ranks have reported
    std::optional<inner::switch_state> last_response;
};

} // namespace pomelohoist
