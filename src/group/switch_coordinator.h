#pragma once

#include "group/group_network.h"
#include "group/switch_participant.h"

#include <pomelohoist/error.h>

#include <cstdint>
#include <vector>

/// Runs a map switch from prepare to decision in the agent that coordinates the group.
namespace pomelohoist {

/// @param votes of all ranks except the coordinator's own
/// @returns true when every other rank has promised the switch with this ballot
bool is_promised_by_all(const std::vector<inner::switch_vote>& votes, const switch_ballot& ballot,
                        const group_position& position);

class switch_coordinator {
  public:
    /// @attention all references must outlive the coordinator
    switch_coordinator(group_position own_position, switch_participant& own_participant, group_network& group_calls);

    /// Sends the prepare message to all ranks, decides by their votes, and sends the decision to all ranks.
    /// @param epoch of the lease that this process holds
    /// @returns done when the switch is committed, otherwise the reason of the abort
    result<done> run(std::uint64_t epoch, const map_start& next);

  private:
    group_position position;
    switch_participant& participant;
    group_network& network;
};

} // namespace pomelohoist
