#pragma once

#include "group/group_network.h"
#include "group/switch_participant.h"

#include <pomelohoist/error.h>

#include <cstdint>
#include <vector>

/// One switch from prepare to decision, by the agent that coordinates the group.
namespace pomelohoist {

/// @param votes replies of the ranks but the coordinator's own
/// @returns true when every other rank has promised the switch of this ballot
bool is_promised_by_all(const std::vector<inner::switch_vote>& votes, const switch_ballot& ballot,
                        const group_place& place);

class switch_coordinator {
  public:
    /// @attention all references must outlive the coordinator
    switch_coordinator(group_place own_place, switch_participant& own_participant, group_network& group_calls);

    /// Prepares all ranks, decides, and tells all ranks.
    /// @param epoch of the lease that this process holds
    /// @returns done when committed, otherwise why not
    result<done> run(std::uint64_t epoch, const map_start& next);

  private:
    group_place place;
    switch_participant& participant;
    group_network& network;
};

} // namespace pomelohoist
