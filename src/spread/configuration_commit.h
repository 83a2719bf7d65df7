#pragma once

#include "declaration/configuration.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

#include <pomelohoist/error.h>

#include <cstdint>
#include <vector>

/// Reading and changing the declarations in the platform's table service.
namespace pomelohoist {

class configuration_commit {
  public:
    configuration_commit(table_service& rows, object_store& snapshots);

    /// Reads the newest accepted configuration, from the newest snapshot and the deltas after it.
    /// @returns the configuration (version 0 when nothing was ever accepted), or `store_unavailable`
    result<configuration> read_newest();

    /// @returns the version of the newest accepted configuration: one read of one row
    result<std::uint64_t> read_version();

    /// @returns the deltas after `version`, ascending and without gaps
    result<std::vector<configuration_delta>> read_deltas(std::uint64_t version);

    /// Commits a change: all of it or nothing. Retries while others commit first, and resolves lost answers.
    /// @returns the configuration that the change made; `conflict`, `invalid_declaration` or `store_unavailable`
    /// @attention after `store_unavailable` it is not known whether the change was accepted; commit the same change
    /// (same id) again to find out
    result<configuration> commit(const configuration_change& change);

  private:
    table_service& table;
    object_store& objects;
};

} // namespace pomelohoist
