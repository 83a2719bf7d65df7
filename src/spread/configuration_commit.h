#pragma once

#include "declaration/configuration.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

#include <pomelohoist/error.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

/// Reads and changes the declarations in the platform's table service.
///
/// Rows: `config/head` (newest version), `config/delta/VERSION` (zero-padded), `config/change/ID` (version that the
/// change created), `config/snapshot` (version of the newest snapshot). Object `config/snapshot/VERSION`: a snapshot.
/// Deltas are removed when two snapshots cover them, so that a reader of the older snapshot still finds the deltas
/// after it.
namespace pomelohoist {

/// Safe for several threads.
class configuration_commit {
  public:
    configuration_commit(table_service& rows, object_store& snapshots);

    /// Reads the newest accepted configuration, from the newest snapshot and the deltas after it.
    /// @returns the configuration (version 0 when nothing was ever accepted), or `store_unavailable`
    result<configuration> read_newest();

    /// @returns the version of the newest accepted configuration, from one read of one row
    result<std::uint64_t> read_version();

    /// @returns the deltas after `version`, ascending and without gaps; `not_found` when some are no longer kept; or
    /// `store_unavailable`
    result<std::vector<configuration_delta>> read_deltas(std::uint64_t version);

    /// Commits a change atomically. Retries after conflicts with concurrent commits and resolves lost responses. A
    /// change id is accepted at most once among the last `max_remembered_changes` versions.
    /// @returns the configuration that the change created (or a newer one, when it was accepted earlier); `conflict`,
    /// `invalid_declaration` or `store_unavailable`
    /// @attention after `store_unavailable` it is not known whether the change was accepted; commit the same change
    /// (same id) again to find out
    result<configuration> commit(const configuration_change& change);

    /// Change ids are kept for this many versions (three days at 5,300 changes per day).
    static constexpr std::uint64_t max_remembered_changes = 16384;

  private:
    struct head_state {
        std::uint64_t version{0};
        std::uint64_t revision{0};
    };

    result<head_state> read_head();
    result<std::vector<configuration_delta>> read_range(std::uint64_t after, std::uint64_t last);
    result<configuration_ptr> read_at(std::uint64_t version);
    result<configuration_ptr> read_from_snapshot(std::uint64_t version);
    result<configuration_ptr> advance(const configuration& from, std::uint64_t version);
    result<bool> is_accepted(const std::string& id);
    result<transaction_outcome> write_delta(const head_state& head, const configuration_delta& delta);
    void write_snapshot_if_due(const configuration& newest);
    void remove_covered_rows(std::uint64_t last_covered, std::uint64_t newest);

    table_service& table;
    object_store& objects;
    std::mutex mutex;
    configuration_ptr last_read; ///< cached, so that later reads need only the deltas after it
};

} // namespace pomelohoist
