#pragma once

#include "group/group_directory.h"
#include "group/map_library.h"
#include "group/map_record.h"

#include <string>

/// Gets the content of a map that this agent lacks.
namespace pomelohoist {

class map_fetcher {
  public:
    /// @attention all references must outlive the fetcher
    map_fetcher(group_place own_place, std::string process, const expert_shape& size,
                const group_directory& known_ranks, map_library& own_maps, map_record& stored);

    /// Asks a rank that should have it, then a few others, then the store.
    /// @returns true when the library has the map
    bool fetch(const map_id& wanted, std::uint32_t likely_rank);

  private:
    bool fetch_from(const net_address& agent, const map_id& wanted);

    group_place place;
    std::string process_name;
    expert_shape shape;
    const group_directory& directory;
    map_library& maps;
    map_record& record;
};

} // namespace pomelohoist
