#pragma once

#include "ranks/map_coordinator.h"
#include "ranks/map_switcher.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/expert_balance.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <vector>

/// A group of ranks in virtual time, as the users' platform describes them: orders may be lost, or be carried out
/// seconds later; steps advance unless one is held; the group may form anew.
namespace pomelohoist {

struct group_faults {
    double unanswered{0.0}; ///< share of orders without an answer; half of them are carried out 2 to 12 s later
    double killed{0.0};     ///< chance, at each call, that the coordinator dies there
    double frozen{0.0};     ///< chance, at each call, that another coordinator works while this one stands still
    double new_epoch{0.0};  ///< chance, at each pause, that the group forms anew
    double idle{0.0};       ///< chance, at each pause, that the group has no work until the next pause
};

/// Thrown where a coordinator dies.
struct coordinator_killed : std::runtime_error {
    coordinator_killed() : std::runtime_error("killed") {}
};

class simulated_group : public rank_group, public pause_source {
  public:
    simulated_group(const expert_shape& group_shape, const group_faults& injected, std::uint64_t seed);

    [[nodiscard]] std::uint32_t size() const override { return this->shape.ranks; }
    rank_engine& rank(std::uint32_t index) override;
    /// Lets virtual time pass.
    bool pause(std::uint32_t milliseconds) override;
    [[nodiscard]] const clock& time() const { return this->virtual_time; }
    /// Starts all ranks anew: the group forms in a new epoch with the first map.
    void lose_power();
    /// Carries out what is late and lets the group run without faults.
    void calm_down();

    std::function<void()> work_of_another;    ///< runs while a coordinator is frozen
    std::function<void()> before_call;        ///< runs before each call to a rank
    std::optional<std::uint32_t> frozen_rank; ///< whose host stands still: nobody reaches it, its engine goes on
    std::uint64_t mixed_steps{0};             ///< steps that began while two ranks had different maps
    std::uint64_t steps{0};
    std::uint64_t switches{0}; ///< steps at which the map changed
    std::uint64_t epochs{1};
    bool is_open{true};         ///< otherwise the group forms, and begins no step
    std::vector<double> demand; ///< chance of each expert, in the order layer, expert

    [[nodiscard]] bool is_held() const;
    [[nodiscard]] bool is_armed() const; ///< any rank

  private:
    friend class simulated_rank;

    struct rank_data {
        std::uint64_t highest_version{0};
        std::uint64_t map_version{0};
        std::vector<std::uint16_t> map;
        std::uint64_t prepared_version{0};
        std::vector<std::uint16_t> prepared;
        std::uint64_t prepared_at_ms{0};
        std::optional<armed_switch> armed;
        std::optional<std::uint64_t> held;
        std::uint64_t fence{0};
        std::vector<std::uint64_t> counts;
    };

    struct late_order {
        std::uint64_t at_ms{0};
        std::uint32_t rank{0};
        rank_command order;
    };

    bool chance(double probability);
    void maybe_interrupt();
    command_outcome receive(std::uint32_t rank, const rank_command& order);
    command_outcome carry_out(std::uint32_t rank, const rank_command& order, bool checks_fence);
    void advance(std::uint64_t milliseconds);
    void begin_step();
    void form_anew();

    expert_shape shape;
    group_faults faults;
    std::mt19937_64 random;
    manual_clock virtual_time;
    std::uint64_t now_ms{0};
    std::uint64_t epoch{1};
    std::uint64_t step{0};
    bool is_idle{false};
    bool is_interrupted{false};
    std::vector<rank_data> data;
    std::vector<std::unique_ptr<rank_engine>> engines;
    std::deque<late_order> late;
};

} // namespace pomelohoist
