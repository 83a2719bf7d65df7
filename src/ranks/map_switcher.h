#pragma once

#include "common/log.h"
#include "ranks/rank_engine.h"
#include "ranks/rank_sweep.h"

#include <pomelohoist/expert_balance.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Switches the expert map of a group whose ranks take orders. In every step all ranks use one map.
namespace pomelohoist {

/// A hold, and the rank that keeps it for the whole group.
struct held_step {
    std::uint32_t rank{0};
    std::uint64_t step{0};

    friend bool operator==(const held_step&, const held_step&) = default;
};

/// The sequence: prepare all ranks; hold a step that is still ahead at one rank; arm all ranks for that step; end the
/// hold only after every rank has reported that it is armed. An order without an answer may be carried out seconds
/// later, so every order is repeated until the rank's own report shows its effect, and a switch of which a rank may be
/// armed is only ever completed, never taken back.
///
/// A coordinator that takes over first shows its fencing token to every rank, so that an earlier one, which may only
/// have stood still, can give no further orders. Versions contain the token: two coordinators never use one for two
/// maps.
///
/// Why late orders are harmless: `arm` is refused once its step has begun, and the step begins only when all ranks are
/// armed. `prepare` is refused for an old version. `hold` and `go` name a step, and no step is named twice: a new
/// switch waits until the group is past every step that an earlier one may have named. A group that has just formed
/// need not wait: while a rank of it was never prepared, nobody has named a step there.
class map_switcher {
  public:
    enum class outcome : std::uint8_t {
        switched,  ///< all ranks are armed and the hold has ended
        not_begun, ///< no rank was armed; another try may follow
        fenced,    ///< another coordinator has taken over
        lost,      ///< the group formed anew, or the process stops
        count
    };

    map_switcher(rank_group& controlled, rank_sweep& calls, pause_source& waits, structured_log& process_log);

    /// Must be called when this process takes over a group, with the fencing token that it got.
    void take_over(std::uint64_t fencing_token);
    /// Reads all ranks.
    /// @returns the states in the order of the ranks, or nothing when one does not answer, is not open, or is in
    /// another epoch
    std::optional<std::vector<rank_state>> read_states();
    /// Completes or ends what an earlier coordinator has left behind.
    /// @returns false when the group is not free for a new switch
    bool settle(const std::vector<rank_state>& seen);
    /// @param slots experts in the order layer, rank, slot
    outcome switch_to(const std::vector<rank_state>& states, const expert_shape& shape,
                      const std::vector<std::uint32_t>& slots);
    /// @returns true when another coordinator has taken over
    [[nodiscard]] bool is_superseded() const { return this->is_fenced_off; }
    /// @returns version of the last map that this process has switched to in this epoch, or 0
    [[nodiscard]] std::uint64_t switched_version() const { return this->last_switched; }
    [[nodiscard]] std::uint64_t fence() const { return this->token; }

  private:
    bool settle_fenced(const std::vector<rank_state>& states);
    /// Shows the fencing token to every rank.
    /// @returns false when a rank did not answer or has seen a higher one
    bool fence_all(std::uint64_t epoch);
    [[nodiscard]] bool is_past_named_steps(const std::vector<rank_state>& states) const;
    outcome prepare_all(const rank_command& order);
    outcome wait_prepared(std::uint64_t epoch, std::uint64_t version);
    std::optional<std::uint64_t> hold(std::uint64_t epoch);
    /// Arms all ranks and ends the hold.
    outcome complete(std::uint64_t epoch, const armed_switch& wanted, const held_step& hold);
    outcome release(std::uint64_t epoch, const held_step& hold);
    command_outcome send_to(std::uint32_t rank, const rank_command& order);
    /// Gives an order to all ranks, to each one until it answers, a few times at most.
    std::vector<command_outcome> give_all(const rank_command& order);
    rank_command order_of(rank_command_kind kind, std::uint64_t epoch, const armed_switch& wanted) const;
    std::optional<std::vector<rank_state>> read_states(std::uint64_t epoch);
    /// Logs each reason once: rounds follow each other quickly while a group forms.
    void note_unreadable(std::uint32_t rank, const std::string& reason);
    void name_step(std::uint64_t step);
    void note_epoch(const std::vector<rank_state>& states);

    rank_group& group;
    rank_sweep& sweep;
    pause_source& waiter;
    structured_log& log;
    std::string unreadable; ///< rank and reason that were logged last; empty while the group can be read
    std::uint64_t token{0};
    std::uint64_t seen_epoch{0};
    std::atomic<bool> is_fenced_off{false};
    bool has_fenced{false}; ///< all ranks have seen the token in this epoch
    std::uint64_t next_version{0};
    std::uint64_t named_until{0}; ///< no earlier switch has named a step beyond this one
    bool must_learn_steps{true};  ///< `named_until` is not known yet
    std::uint64_t last_switched{0};
};

} // namespace pomelohoist
