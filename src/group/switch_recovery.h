#pragma once

#include "common/random_source.h"
#include "group/group_network.h"
#include "group/switch_participant.h"

#include <functional>
#include <optional>

/// Concludes a switch whose coordinator no longer responds, and recovers the state of a restarted agent.
namespace pomelohoist {

/// @returns the map of a group in which no rank has run a step, or nothing when the store does not respond
using cold_start_source = std::function<std::optional<map_start>()>;

class switch_recovery {
  public:
    /// @attention all references must outlive the recovery
    switch_recovery(group_position own_position, switch_participant& own_participant, group_network& group_calls,
                    cold_start_source stored_map);

    /// Attempts a recovery when the participant needs one.
    /// @returns true when the attempt failed; the caller should wait for a random time before the next one
    bool run();

  private:
    /// @returns false when not all other ranks have responded
    bool read_ballots();
    /// @returns false when the attempt failed
    bool recover();

    group_position position;
    switch_participant& participant;
    group_network& network;
    cold_start_source cold_start;
};

} // namespace pomelohoist
