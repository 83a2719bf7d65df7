#pragma once

#include "group/group_directory.h"
#include "group/map_library.h"
#include "group/map_record.h"

#include <string>

/// Fetches the content of a map that this agent does not have.
namespace pomelohoist {

class map_fetcher {
  public:
    /// @attention all references must outlive the fetcher
    map_fetcher(group_position own_position, std::string own_process, const expert_shape& group_shape,
                const group_directory& agent_directory, map_library& own_maps, map_record& own_record);

    /// Adds the map to the library. Queries the likely rank first, then a few other ranks, then the store.
    /// @param likely_rank rank that probably has the map
    /// @returns true when the library has the map
    bool fetch(const map_id& id, std::uint32_t likely_rank);

  private:
    bool fetch_from(const net_address& agent, const map_id& id);

    group_position position;
    std::string process_name;
    expert_shape shape;
    const group_directory& directory;
    map_library& maps;
    map_record& record;
};

} // namespace pomelohoist
