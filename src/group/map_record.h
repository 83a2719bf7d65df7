#pragma once

#include "platform/table_service.h"

#include <pomelohoist/error.h>
#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <string>

/// Row `map/GROUP`: the last committed map, for a cold start of the group.
namespace pomelohoist {

class map_record {
  public:
    map_record(table_service& store, const std::string& group, const expert_shape& group_shape);

    /// @returns the stored map; the initial map of the shape when the row is missing, invalid or of another shape;
    /// or `store_unavailable`
    result<expert_map> read();
    /// Stores a committed map, unless the row holds a newer one or was written under a higher epoch.
    result<done> write(const expert_map& committed, std::uint64_t epoch);

  private:
    table_service& table;
    std::string key;
    expert_shape shape;
};

} // namespace pomelohoist
