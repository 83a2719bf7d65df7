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

/// A group of ranks in virtual time, with the behaviour that the users' platform specifies: commands may be lost, or be
/// executed seconds later; steps advance unless a step is held; the group may form anew.
namespace pomelohoist {

struct group_faults {
    double no_response_share{0.0}; ///< share of commands without a response; half of them are executed 2 to 12 s later
    double killed{0.0};            ///< chance, at each call, that the coordinator is killed
    double frozen{0.0};    ///< chance, at each call, that the coordinator is frozen while another coordinator runs
    double new_epoch{0.0}; ///< chance, at each pause, that the group forms anew
    double idle{0.0};      ///< chance, at each pause, that the group has no work until the next pause
};

/// Thrown when a coordinator is killed.
struct coordinator_killed : std::runtime_error {
    coordinator_killed() : std::runtime_error("killed") {}
};

class simulated_group : public rank_group, public pause_source {
  public:
    simulated_group(const expert_shape& group_shape, const group_faults& injected, std::uint64_t seed);

    [[nodiscard]] std::uint32_t size() const override { return this->shape.ranks; }
    rank_engine& rank(std::uint32_t index) override;
    /// Advances virtual time.
    bool pause(std::uint32_t milliseconds) override;
    [[nodiscard]] const clock& time() const { return this->virtual_time; }
    /// Restarts all ranks: the group forms in a new epoch with the first map.
    void lose_power();
    /// Ends all faults and advances time until the late commands are executed.
    void end_faults();

    std::function<void()> run_other_coordinator; ///< runs while a coordinator is frozen
    std::function<void()> before_call;           ///< runs before each call to a rank
    std::function<void(rank_state&)> on_report;  ///< may change what a rank reports
    std::optional<std::uint32_t> frozen_rank;    ///< rank on a frozen host: it is unreachable, its engine continues
    std::uint64_t mixed_steps{0};                ///< steps that began while two ranks had different maps
    std::uint64_t steps{0};
    std::uint64_t switches{0}; ///< steps at which the map changed
    std::uint64_t epochs{1};
    std::uint64_t step_ms{50};  ///< duration of a step
    bool is_open{true};         ///< false while the group forms; the group begins no step then
    std::vector<double> demand; ///< selections per step in units of 10, in the order layer, expert

    [[nodiscard]] bool is_held() const;
    [[nodiscard]] bool is_armed() const; ///< true when any rank is armed

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

    struct late_command {
        std::uint64_t at_ms{0};
        std::uint32_t rank{0};
        rank_command command;
    };

    bool chance(double probability);
    void maybe_interrupt();
    command_outcome receive(std::uint32_t rank, const rank_command& command);
    command_outcome execute(std::uint32_t rank, const rank_command& command, bool checks_token);
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
    bool is_interrupted{
        false}; ///< set while before_call or run_other_coordinator runs: their calls are not interrupted
    std::vector<rank_data> data;
    std::vector<std::unique_ptr<rank_engine>> engines;
    std::deque<late_command> late_commands;
};

} // namespace pomelohoist
