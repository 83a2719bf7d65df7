#pragma once

#include "common/random_source.h"
#include "group/group_network.h"
#include "group/switch_participant.h"

#include <functional>
#include <optional>

/// Finishes a switch whose coordinator went silent, and brings a restarted agent back.
namespace pomelohoist {

/// @returns the map of a group in which no rank has run a step, or nothing when the store does not answer
using cold_start_source = std::function<std::optional<map_start>()>;

class switch_recovery {
  public:
    /// @attention all references must outlive the recovery
    switch_recovery(group_place own_place, switch_participant& own_participant, group_network& group_calls,
                    cold_start_source stored_map);

    /// Makes one attempt, when the participant needs one.
    /// @returns true when an attempt was made and did not succeed; the next one should wait for a random time
    bool run();

  private:
    bool read_ballots();
    bool recover();

    group_place place;
    switch_participant& participant;
    group_network& network;
    cold_start_source cold_start;
};

} // namespace pomelohoist
