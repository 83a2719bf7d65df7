#pragma once

#include "group/group_network.h"
#include "group/group_simulation.h"
#include "group/switch_recovery.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <vector>

/// Participants in one process, with calls that a test can intercept, replay or drop.
namespace pomelohoist::test_group {

struct call_counts {
    std::uint64_t messages{0}; ///< requests and responses
    std::uint64_t bytes{0};    ///< total size of the packets of these messages
};

class scripted_group {
  public:
    /// @param first map of a cold start
    explicit scripted_group(std::uint32_t number_of_ranks, const map_id& first = {1, 1});

    /// @returns a network for calls from this rank to all other ranks
    std::unique_ptr<group_network> network_of(std::uint32_t rank);
    [[nodiscard]] switch_participant& participant(std::uint32_t rank) { return *this->participants.at(rank); }
    [[nodiscard]] group_position position(std::uint32_t rank) const { return {"g", rank, this->ranks, rank + 1}; }
    /// Lets every rank start its next step, if its participant grants the step.
    /// @returns number of ranks that started a step
    std::uint32_t start_steps();
    /// @returns true when the rank started its next step
    bool start_step_of(std::uint32_t rank);

    std::set<std::uint32_t> unreachable;        ///< ranks that never receive requests
    std::set<std::uint32_t> losing_responses;   ///< ranks that receive requests but whose responses are lost
    std::function<void(std::uint32_t)> on_call; ///< called before a rank receives a request
    std::vector<inner::packet> delivered;       ///< all requests sent, so that a test can replay them
    call_counts counts;

    inner::payload serve(std::uint32_t rank, const inner::packet& request);

  private:
    friend class scripted_network;

    std::uint32_t ranks;
    manual_clock time;
    all_but_one_usable contents;
    std::vector<std::unique_ptr<fencing_gate>> gates;
    std::vector<std::unique_ptr<switch_participant>> participants;
    std::vector<lock_step_rank> simulated_ranks;
};

} // namespace pomelohoist::test_group
