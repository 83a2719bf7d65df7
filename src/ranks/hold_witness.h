#pragma once

#include "ranks/rank_engine.h"

#include <cstdint>
#include <mutex>
#include <optional>

/// What the process beside a rank has seen of a map switch.
namespace pomelohoist {

/// Answers a coordinator whose host freezes between the hold and the arming: its group stands still, and its own rank
/// cannot be read, so nobody could tell whether a rank is armed. A coordinator therefore holds a step at the rank of
/// another host, and arms that rank first, in both cases only by way of the process beside it. A process that has seen
/// the hold, and since then no order to arm, knows that no rank is armed for that step, and may end the hold.
/// Safe for several threads.
class hold_witness {
  public:
    /// Must be called before the order is given to the engine.
    void note(const rank_order& order);
    /// Notes that this process ends a hold: from here on no rank may be armed for that step, since the order to go on
    /// may be carried out late.
    void abandon(std::uint64_t epoch, std::uint64_t step);
    /// @returns true when the order must not be given to the engine
    [[nodiscard]] bool refuses(const rank_order& order) const;
    /// @param own of the engine, read after it has seen a fencing token that is higher than those of the coordinators
    /// whose orders are in question
    /// @returns true when the rank holds a step for which no rank is armed, or can be
    [[nodiscard]] bool is_unarmed(const rank_state& own) const;

  private:
    struct epoch_step {
        std::uint64_t epoch{0};
        std::uint64_t step{0};
    };

    mutable std::mutex mutex;
    std::optional<epoch_step> hold; ///< the last one that was ordered
    // Kept apart from the hold: a repeated order to hold may be processed late, after one to arm.
    std::optional<epoch_step> armed;     ///< the highest step of its epoch
    std::optional<epoch_step> abandoned; ///< the last one
};

} // namespace pomelohoist
