#pragma once

#include "group/map_library.h"
#include "group/switch_coordinator.h"
#include "group/switch_participant.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Simulation of a group of participants. Messages are never consumed, so each message may arrive late, more than once,
/// out of order or not at all, as in models/map_switch.pml.
namespace pomelohoist::test_group {

class all_but_one_usable : public map_contents {
  public:
    [[nodiscard]] bool is_usable(const map_id& map) const override { return map.digest != this->missing_digest; }
    std::uint64_t missing_digest{0};
};

/// State of a simulated rank, which starts a step when its agent has granted the step and all ranks have started the
/// previous step.
struct lock_step_rank {
    std::uint64_t next{0};
    std::optional<map_start> running;
};

class group_simulation {
  public:
    explicit group_simulation(std::uint32_t number_of_ranks);

    /// Runs one event if it is possible in the current state. The arguments are random numbers.
    /// @param kind selects the kind of the event
    /// @param rank selects the rank
    /// @param message selects the message; for an event without a message, whether and how the event runs
    void run_event(std::uint32_t kind, std::uint32_t rank, std::uint32_t message);
    /// Recovers all ranks without further faults and runs steps.
    /// @returns true when every rank has started `more_steps` steps after the next step of rank 0
    bool run_without_faults(std::uint64_t more_steps);

    /// @returns the first step that two ranks ran with different maps, if any
    [[nodiscard]] const std::optional<std::uint64_t>& step_with_two_maps() const { return this->two_map_step; }
    [[nodiscard]] std::uint64_t commits() const { return this->committed; }
    [[nodiscard]] std::uint64_t restarts() const { return this->restart_count; }
    static constexpr std::uint32_t event_kinds = 14;

  private:
    struct member {
        std::unique_ptr<fencing_gate> gate;
        std::unique_ptr<switch_participant> participant;
        std::set<std::uint32_t> read_from;
        std::vector<switch_ballot> read_ballots;
    };
    struct open_query {
        inner::switch_query query;
        std::uint64_t incarnation{0};
    };

    void start_member(std::uint32_t rank);
    void restart(std::uint32_t rank);
    void start_step(std::uint32_t rank);
    void read_ballot(std::uint32_t rank, std::uint32_t from);
    void open_switch(std::uint32_t rank, std::uint32_t lead);
    void close_switch(std::uint32_t rank, bool may_abort);
    void open_recovery(std::uint32_t rank);
    void close_recovery(std::uint32_t rank);
    [[nodiscard]] bool is_group_idle() const;
    template <class List> typename List::const_pointer pick_recent(const List& list, std::uint32_t number) const {
        return list.empty() ? nullptr : &list[list.size() - 1 - number % list.size()];
    }

    std::uint32_t ranks;
    manual_clock time;
    all_but_one_usable contents;
    std::vector<member> members;
    std::vector<lock_step_rank> simulated_ranks;
    std::vector<std::uint64_t> incarnations;
    std::map<std::uint64_t, map_id> map_of_step;
    std::optional<std::uint64_t> two_map_step;
    std::vector<inner::switch_prepare> prepares;
    std::vector<inner::switch_vote> votes;
    std::vector<inner::switch_query> queries;
    std::vector<inner::switch_state> states;
    std::vector<inner::switch_decision> decisions;
    std::uint64_t next_digest{100};
    std::uint64_t epoch{1};
    std::uint64_t committed{0};
    std::uint64_t restart_count{0};
    std::uint32_t restarts_since_idle{0};
};

} // namespace pomelohoist::test_group
