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

/// The state of one rank's agent in the switches of the expert map (docs/design.md, 4.7; models/map_switch.pml).
namespace pomelohoist {

using inner::map_id;
using inner::map_start;
using inner::switch_ballot;

/// Which maps an agent could use at once.
class map_contents {
  public:
    virtual ~map_contents() = default;
    /// @returns true when the content is here and the rank has the weights
    [[nodiscard]] virtual bool is_usable(const map_id& map) const = 0;
};

/// The place of an agent in its group.
struct group_place {
    std::string group;
    std::uint32_t rank{0};
    std::uint32_t ranks{1};
    std::uint64_t incarnation{0}; ///< of this process, random, not 0

    friend bool operator==(const group_place&, const group_place&) = default;
};

/// What a rank says when it asks for a step.
struct step_request {
    std::uint64_t step{0};
    std::optional<map_start> running; ///< map of the step before; nothing before the rank's first step

    friend bool operator==(const step_request&, const step_request&) = default;
};

/// Safe for several threads. A new object is that of a restarted agent: it recovers before it grants a step.
class switch_participant {
  public:
    /// @attention all references must outlive the participant
    switch_participant(group_place own_place, const clock& time_source, fencing_gate& order_gate,
                       const map_contents& usable_maps);

    /// @returns the map of the step, or nothing while the rank has to wait
    /// @attention a granted step counts as started; a repeated question gets the same answer
    std::optional<map_start> grant_step(const step_request& request);

    /// Takes what a rank says that is not free to start the step yet. A rank that waits for others has to report too:
    /// its restarted agent answers nobody before, and the others may wait for that answer.
    void report(const step_request& request);

    inner::switch_vote handle_prepare(const inner::switch_prepare& prepare);
    inner::switch_state handle_query(const inner::switch_query& query);
    inner::switch_state handle_decision(const inner::switch_decision& decision);

    /// Starts a switch as the coordinator; the own promise is given with it.
    /// @returns the order for all other ranks, or why it must not be sent
    result<inner::switch_prepare> open_switch(std::uint64_t epoch, const map_start& next);
    /// Ends a switch of the own rank's coordinator.
    /// @param all_promised commits; otherwise aborts
    /// @returns the decision for all other ranks, or nothing when a higher ballot has taken the switch over
    std::optional<inner::switch_decision> close_switch(const switch_ballot& ballot, bool all_promised);

    /// Takes the ballots of all other ranks, which a restarted agent has to read first.
    /// @param others ballots of all ranks but the own one, read since the start of this process
    void take_ballots(const std::vector<switch_ballot>& others);
    /// Starts a recovery with a ballot above all seen.
    /// @returns the question for all other ranks, or nothing when there is nothing to recover
    std::optional<inner::switch_query> open_recovery();
    /// Ends a recovery.
    /// @param answers of all ranks but the own one
    /// @param cold_start map in force when no rank knows one; nothing when the store did not answer
    /// @returns the decision for all other ranks, or nothing when it cannot be taken
    std::optional<inner::switch_decision> close_recovery(const switch_ballot& ballot,
                                                         const std::vector<inner::switch_state>& answers,
                                                         const std::optional<map_start>& cold_start);
    /// Remembers a ballot that another rank has seen, for the next proposal of this one.
    void observe_ballot(const switch_ballot& seen);

    /// @returns true when this agent recovers, or its promise has been open for longer than the limit
    [[nodiscard]] bool needs_recovery(std::chrono::milliseconds limit) const;
    /// @returns true while a restarted agent knows no ballots and its rank has reported
    [[nodiscard]] bool needs_ballots() const;
    [[nodiscard]] bool is_recovering() const;
    [[nodiscard]] bool has_open_promise() const;
    [[nodiscard]] std::optional<map_start> in_force() const;
    /// @returns the first step that was not granted
    [[nodiscard]] std::uint64_t next_step() const;

  private:
    struct open_promise {
        inner::switch_prepare order;
        steady_time since;
    };

    // All private functions are called with the mutex locked.
    void take_report(const step_request& request);
    [[nodiscard]] std::string refusal_of(const inner::switch_prepare& prepare) const;
    inner::switch_vote vote_on(const inner::switch_prepare& prepare);
    [[nodiscard]] bool is_answering() const;
    [[nodiscard]] inner::switch_state make_answer(const switch_ballot& ballot) const;
    [[nodiscard]] bool accepts(const inner::switch_decision& decision) const;
    void apply(const map_start& decided);
    [[nodiscard]] switch_ballot next_ballot(std::uint64_t epoch) const;

    group_place place;
    const clock& time;
    fencing_gate& gate;
    const map_contents& maps;
    mutable std::mutex mutex;
    bool is_reported{false};  ///< the rank has said which step and map it runs
    bool ballots_read{false}; ///< of all other ranks, since the start
    bool recovering{true};
    std::uint64_t next{0};               ///< first step that was not granted
    std::optional<map_start> known;      ///< latest committed map
    std::optional<map_start> previous;   ///< map of the steps before `known->from_step`
    std::optional<map_start> last_grant; ///< map of the step before `next`
    std::optional<open_promise> promise;
    switch_ballot ballot;       ///< highest that this agent has answered, promised or read
    switch_ballot refused;      ///< highest switch that this agent has refused
    switch_ballot seen_outside; ///< highest that other ranks have told of
    std::optional<inner::switch_state> last_answer;
};

} // namespace pomelohoist
