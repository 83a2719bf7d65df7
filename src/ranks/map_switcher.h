#pragma once

#include "common/log.h"
#include "ranks/rank_engine.h"
#include "ranks/rank_sweep.h"
#include "ranks/switch_lead.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/expert_balance.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Switches the expert map of a group whose ranks execute commands. In every step all ranks use the same map.
namespace pomelohoist {

/// A step that the whole group does not begin until `go`, and the rank at which the step is held.
struct held_step {
    std::uint32_t rank{0};
    std::uint64_t step{0};

    friend bool operator==(const held_step&, const held_step&) = default;
};

/// Decides during a switch whether its map is still useful.
class switch_monitor {
  public:
    virtual ~switch_monitor() = default;
    /// Called repeatedly while the ranks prepare the map.
    /// @returns false to abandon the switch; no rank is armed then
    virtual bool is_still_wanted() = 0;
};

/// A switch has five phases: prepare all ranks; hold a future step at one rank; arm that rank for the step; arm the
/// others after it has reported that it is armed; end the hold after every rank has reported that. A rank may execute a
/// command seconds after the command timed out. The coordinator therefore relies on the ranks' own reports and not on
/// responses, and retries `arm` and `go` until the reports show their effect. Once the rank of the hold is armed, the
/// switch is always completed, never rolled back. Until then no other rank can be armed, so a coordinator that cannot
/// reach all ranks may end the hold, after a later `prepare` at its rank has made the rank refuse `arm` commands.
///
/// A coordinator that takes over a group first sends its fencing token to every rank, so that the ranks refuse all
/// further commands of an earlier coordinator, which may be frozen and continue later. Map versions are derived from
/// the token, so two coordinators never use the same version for two maps.
///
/// Late commands are harmless. `arm` is refused once its step has begun, and the step begins only when all ranks are
/// armed. `prepare` is refused for an old version. `hold` and `go` carry a step, and no step is used by two switches:
/// a new switch waits until the group is past every step that an earlier switch may have used. A group that has just
/// formed does not wait: while one of its ranks has prepared no map, no coordinator has used a step.
class map_switcher {
  public:
    enum class outcome : std::uint8_t {
        switched,    ///< all ranks are armed and the hold has ended
        not_begun,   ///< no rank was armed; the switch may be retried
        fenced,      ///< a rank has seen the higher fencing token of another coordinator
        interrupted, ///< the group formed anew, or the process stops
        count
    };

    /// @param rank_of_holds rank at which this coordinator holds steps; it should be on another host, so that another
    /// coordinator can end the hold while this host is frozen
    map_switcher(rank_group& controlled_group, std::uint32_t rank_of_holds, rank_sweep& sweeper, pause_source& pauses,
                 const clock& time_source, structured_log& process_log);

    /// Starts a term as coordinator; must be called when this process takes over a group.
    /// @param fencing_token token that this process acquired for the group
    void take_over(std::uint64_t fencing_token);
    /// Reads all ranks.
    /// @returns the states in the order of the ranks, or nothing when a rank does not respond, reports a group that is
    /// not open, or is in another epoch
    std::optional<std::vector<rank_state>> read_states();
    /// Completes a switch, or ends a hold, that an earlier coordinator left unfinished.
    /// @returns false when the group is not ready for a new switch
    bool recover(const std::vector<rank_state>& states);
    /// Ends a hold that was left before any rank was armed, if the last call of `read_states` has found one. For use
    /// when ranks cannot be reached; `recover` does more, but needs all of them.
    void release_unarmed_hold(const expert_shape& shape);
    /// Switches all ranks to a new map.
    /// @param slots experts in the order layer, rank, slot
    /// @param states result of the last call of `read_states`
    outcome switch_to(const std::vector<rank_state>& states, const expert_shape& shape,
                      const std::vector<std::uint32_t>& slots, switch_monitor& monitor);
    /// @returns true when another coordinator has taken over
    [[nodiscard]] bool is_superseded() const { return this->is_fenced; }
    /// @returns version of the last map that this process has switched to in this epoch, or 0
    [[nodiscard]] std::uint64_t switched_version() const { return this->last_switched; }
    [[nodiscard]] std::uint64_t fence() const { return this->token; }

  private:
    /// Completes the switch or ends the hold for `recover`; called once all ranks have seen the token.
    bool recover_fenced(const std::vector<rank_state>& states);
    /// Sends the fencing token to every rank.
    /// @returns false when a rank did not respond or has seen a higher token
    bool send_token_to_all(std::uint64_t epoch);
    [[nodiscard]] bool is_past_target_steps(const std::vector<rank_state>& states) const;
    /// Sends `prepare` to all ranks. A rank without a response may have accepted, so it does not fail this phase.
    /// @returns `switched` as the success value (the switch itself is still to come), otherwise the reason of the
    /// failure
    outcome prepare_all(const rank_command& command);
    /// Waits until all ranks report the prepared map.
    /// @returns `switched` as the success value (the switch itself is still to come), otherwise the reason of the
    /// failure
    outcome wait_prepared(std::uint64_t epoch, std::uint64_t version, switch_monitor& monitor);
    /// @param step current step
    [[nodiscard]] switch_pace pace_at(std::uint64_t step) const;
    /// Holds a future step.
    /// @returns the step, or nothing when the rank reports no hold of it
    std::optional<std::uint64_t> hold(std::uint64_t epoch);
    /// Arms all ranks, then ends the hold.
    /// @param started_at when the hold was requested, or when an unfinished switch was found
    /// @param may_abandon no rank is armed yet: if the rank of the hold has discarded the map, the hold ends without a
    /// switch
    outcome complete(std::uint64_t epoch, const armed_switch& target, const held_step& hold, bool may_abandon,
                     steady_time started_at);
    /// Sends `arm` to the ranks until all of them report that they are armed.
    /// @param may_abandon gives up when a rank has discarded the map
    outcome arm_ranks(const rank_command& arm, std::vector<std::uint32_t> ranks, bool may_abandon);
    /// Makes a rank refuse to be armed for every map that it has prepared so far.
    /// @returns false when the rank may still be armed
    bool discard_prepared(const rank_state& before, const expert_shape& shape);
    /// Sends `go` until the rank reports that the hold has ended.
    outcome release(std::uint64_t epoch, const held_step& hold);
    command_outcome send_to(std::uint32_t rank, const rank_command& command);
    /// Sends a command to all ranks; retries each rank without a response, up to `config::rank_command_attempts`.
    std::vector<command_outcome> send_to_all(const rank_command& command);
    rank_command make_command(rank_command_kind kind, std::uint64_t epoch, const armed_switch& target) const;
    std::optional<std::vector<rank_state>> read_states(std::uint64_t epoch);
    /// Logs a rank and reason once, not in each round: rounds are frequent while a group forms.
    void log_unreadable(std::uint32_t rank, const std::string& reason);
    void record_target_step(std::uint64_t step);
    void record_epoch(const std::vector<rank_state>& states);

    rank_group& group;
    std::uint32_t hold_rank;
    rank_sweep& sweep;
    pause_source& pauser;
    const clock& time;
    structured_log& log;
    /// Duration of the last hold and arming of all ranks; empty before the first one.
    std::optional<std::chrono::duration<double, std::milli>> arming_time;
    std::chrono::duration<double, std::milli> sweep_time{0.0}; ///< duration of the last read of all ranks
    steady_time states_read_at{};
    std::uint64_t last_read_step{0};   ///< latest step of any rank in the last read of all
    std::vector<rank_state> reachable; ///< states of the ranks that responded to the last read of all
    std::string logged_unreadable;     ///< last logged rank and reason; empty while the group can be read
    std::uint64_t token{0};
    std::uint64_t known_epoch{0}; ///< epoch of the last states that were read
    std::atomic<bool> is_fenced{false};
    bool ranks_have_token{false};      ///< all ranks have seen the token in this epoch
    std::uint64_t last_version{0};     ///< version of the last `prepare` command
    std::uint64_t last_target_step{0}; ///< no switch so far has a target step beyond this one
    bool is_target_unknown{true};      ///< `last_target_step` is not set yet
    std::uint64_t last_switched{0};
};

} // namespace pomelohoist
