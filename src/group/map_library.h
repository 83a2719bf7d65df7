#pragma once

#include "group/switch_participant.h"

#include <pomelohoist/expert_balance.h>

#include <deque>
#include <memory>
#include <mutex>

/// Contents of the maps that an agent may need: the maps in force and the maps that a switch prepares.
namespace pomelohoist {

using map_ptr = std::shared_ptr<const expert_map>;

/// @returns the version of the map and a digest of its shape and slots
map_id identify(const expert_map& map);

/// Keeps the most recent maps. Thread-safe.
class map_library : public map_contents {
  public:
    /// @returns the identity of the map
    map_id add(const expert_map& map);
    /// @returns the map, or null when it is not kept
    [[nodiscard]] map_ptr find(const map_id& id) const;
    [[nodiscard]] bool is_usable(const map_id& map) const override { return this->find(map) != nullptr; }

  private:
    struct kept_map {
        map_id id;
        map_ptr map;
    };

    mutable std::mutex mutex;
    std::deque<kept_map> maps; ///< oldest first
};

} // namespace pomelohoist
