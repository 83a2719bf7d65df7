#include "spread/configuration_commit.h"

#include "spread/configuration_codec.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t version_digits = 20;
constexpr int max_commit_attempts = 256;
constexpr int max_unresolved_responses = 3;
constexpr int max_read_attempts = 4;
// Up to this number of deltas, each row is read separately; for more, listing all kept deltas costs less.
constexpr std::uint64_t max_single_reads = 8;
// etcd refuses transactions of more than 128 operations.
constexpr std::size_t max_removals = 100;

const std::string head_key = "config/head";
const std::string snapshot_key = "config/snapshot";
const std::string delta_prefix = "config/delta/";
const std::string change_prefix = "config/change/";

std::string delta_key(std::uint64_t version) {
    const std::string digits = std::to_string(version);
    return delta_prefix + std::string(version_digits - digits.size(), '0') + digits;
}

std::string snapshot_object(std::uint64_t version) {
    return "config/snapshot/" + std::to_string(version);
}

result<std::uint64_t> parse_version(const table_row& row) {
    std::uint64_t version = 0;
    const char* end = row.value.data() + row.value.size();
    const auto [stopped, code] = std::from_chars(row.value.data(), end, version);
    if (code != std::errc{} || stopped != end) {
        return failure{error_kind::internal, "row " + row.key + " holds no version"};
    }
    return version;
}

/// Version and revision of a row that may be absent.
struct version_row {
    std::uint64_t version{0};
    std::uint64_t revision{0};
};

result<version_row> read_version_row(table_service& table, const std::string& key) {
    const result<std::optional<table_row>> row = table.get(key);
    if (!row) {
        return row.last_error();
    }
    if (!*row) {
        return version_row{};
    }
    const result<std::uint64_t> version = parse_version(**row);
    if (!version) {
        return version.last_error();
    }
    return version_row{*version, (*row)->revision};
}

} // namespace

configuration_commit::configuration_commit(table_service& rows, object_store& snapshots)
    : table(rows), objects(snapshots), last_read(std::make_shared<const configuration>()) {}

result<configuration_commit::head_state> configuration_commit::read_head() {
    const result<version_row> head = read_version_row(this->table, head_key);
    if (!head) {
        return head.last_error();
    }
    return head_state{head->version, head->revision};
}

result<std::uint64_t> configuration_commit::read_version() {
    const result<head_state> head = this->read_head();
    if (!head) {
        return head.last_error();
    }
    return head->version;
}

result<configuration> configuration_commit::read_newest() {
    const result<head_state> head = this->read_head();
    if (!head) {
        return head.last_error();
    }
    const result<configuration_ptr> newest = this->read_at(head->version);
    if (!newest) {
        return newest.last_error();
    }
    return **newest;
}

result<std::vector<configuration_delta>> configuration_commit::read_deltas(std::uint64_t version) {
    const result<head_state> head = this->read_head();
    if (!head) {
        return head.last_error();
    }
    return this->read_range(version, head->version);
}

result<std::vector<configuration_delta>> configuration_commit::read_range(std::uint64_t after, std::uint64_t last) {
    std::vector<table_row> rows;
    if (last <= after) {
        return std::vector<configuration_delta>{};
    }
    if (last - after <= max_single_reads) {
        for (std::uint64_t version = after + 1; version <= last; ++version) {
            const result<std::optional<table_row>> row = this->table.get(delta_key(version));
            if (!row) {
                return row.last_error();
            }
            if (*row) {
                rows.push_back(**row);
            }
        }
    } else {
        const result<std::vector<table_row>> listed = this->table.list(delta_prefix);
        if (!listed) {
            return listed.last_error();
        }
        rows = *listed;
    }
    std::vector<configuration_delta> deltas;
    for (const table_row& row : rows) {
        if (row.key <= delta_key(after) || row.key > delta_key(last)) {
            continue;
        }
        const result<configuration_delta> delta = decode_delta(row.value);
        if (!delta) {
            return failure{error_kind::internal, "row " + row.key + ": " + delta.last_error().reason};
        }
        if (delta->version != after + deltas.size() + 1) {
            break;
        }
        deltas.push_back(*delta);
    }
    if (deltas.size() != last - after) {
        return failure{error_kind::not_found, "the deltas after version " + std::to_string(after) + " are not kept"};
    }
    return deltas;
}

result<configuration_ptr> configuration_commit::advance(const configuration& from, std::uint64_t version) {
    const result<std::vector<configuration_delta>> deltas = this->read_range(from.version(), version);
    if (!deltas) {
        return deltas.last_error();
    }
    configuration newest = from;
    for (const configuration_delta& delta : *deltas) {
        result<configuration> next = newest.apply(delta);
        if (!next) {
            return failure{error_kind::internal, "accepted delta " + std::to_string(delta.version) +
                                                     " cannot be applied: " + next.last_error().reason};
        }
        newest = std::move(*next);
    }
    return std::make_shared<const configuration>(std::move(newest));
}

result<configuration_ptr> configuration_commit::read_from_snapshot(std::uint64_t version) {
    const result<version_row> newest = read_version_row(this->table, snapshot_key);
    if (!newest) {
        return newest.last_error();
    }
    if (newest->version == 0) {
        return this->advance(configuration{}, version);
    }
    const result<std::optional<std::string>> stored_snapshot =
        this->objects.get_object(snapshot_object(newest->version));
    if (!stored_snapshot) {
        return stored_snapshot.last_error();
    }
    if (!*stored_snapshot) {
        return failure{error_kind::not_found, "no snapshot of version " + std::to_string(newest->version)};
    }
    const result<configuration> snapshot = decode_configuration(**stored_snapshot);
    if (!snapshot) {
        return snapshot.last_error();
    }
    return this->advance(*snapshot, version);
}

result<configuration_ptr> configuration_commit::read_at(std::uint64_t version) {
    configuration_ptr cached;
    {
        const std::lock_guard lock{this->mutex};
        cached = this->last_read;
    }
    if (cached->version() >= version) {
        return cached;
    }
    result<configuration_ptr> newest = this->advance(*cached, version);
    // Rows may be removed between the reads; a newer snapshot then contains their changes.
    for (int attempt = 0; attempt < max_read_attempts; ++attempt) {
        if (newest || newest.last_error().kind != error_kind::not_found) {
            break;
        }
        newest = this->read_from_snapshot(version);
    }
    if (!newest) {
        return newest;
    }
    const std::lock_guard lock{this->mutex};
    if (this->last_read->version() < (*newest)->version()) {
        this->last_read = *newest;
    }
    return newest;
}

result<bool> configuration_commit::is_accepted(const std::string& id) {
    const result<std::optional<table_row>> row = this->table.get(change_prefix + id);
    if (!row) {
        return row.last_error();
    }
    return row->has_value();
}

result<transaction_outcome> configuration_commit::write_delta(const head_state& head,
                                                              const configuration_delta& delta) {
    const std::string version = std::to_string(delta.version);
    const std::string change_key = change_prefix + delta.change.id;
    // The row of the change id is a condition too, since an earlier attempt may still be in transit to the store.
    return this->table.commit(
        table_transaction{{row_condition{head_key, head.revision}, row_condition{change_key, 0}},
                          {row_write{head_key, version}, row_write{delta_key(delta.version), encode_delta(delta)},
                           row_write{change_key, version}}});
}

result<configuration> configuration_commit::commit(const configuration_change& change) {
    int unresolved_responses = 0;
    for (int attempt = 0; attempt < max_commit_attempts; ++attempt) {
        // The head is read before the change id, so that a conflict is never reported for an accepted change.
        const result<head_state> head = this->read_head();
        if (!head) {
            return head.last_error();
        }
        const result<bool> accepted = this->is_accepted(change.id);
        if (!accepted) {
            return accepted.last_error();
        }
        if (*accepted) {
            return this->read_newest();
        }
        const result<configuration_ptr> base = this->read_at(head->version);
        if (!base) {
            return base.last_error();
        }
        if ((*base)->version() != head->version) {
            continue;
        }
        const configuration_delta delta{head->version + 1, change};
        result<configuration> next = (*base)->apply(delta);
        if (!next) {
            return next.last_error();
        }
        const result<transaction_outcome> outcome = this->write_delta(*head, delta);
        if (outcome && outcome->committed) {
            this->write_snapshot_if_due(*next);
            return next;
        }
        if (!outcome && ++unresolved_responses == max_unresolved_responses) {
            return outcome.last_error();
        }
    }
    return failure{error_kind::store_unavailable, "other changes were always committed first"};
}

void configuration_commit::write_snapshot_if_due(const configuration& newest) {
    const result<version_row> previous = read_version_row(this->table, snapshot_key);
    // When a snapshot cannot be written, the write is attempted again after the next change.
    if (!previous || newest.version() < previous->version + config::snapshot_interval_versions) {
        return;
    }
    if (!this->objects.put_object(snapshot_object(newest.version()), encode_configuration(newest))) {
        return;
    }
    const result<transaction_outcome> outcome =
        this->table.commit(table_transaction{{row_condition{snapshot_key, previous->revision}},
                                             {row_write{snapshot_key, std::to_string(newest.version())}}});
    if (outcome && outcome->committed) {
        this->remove_covered_rows(previous->version, newest.version());
    }
}

void configuration_commit::remove_covered_rows(std::uint64_t last_covered, std::uint64_t newest) {
    std::vector<row_write> removals;
    const result<std::vector<table_row>> deltas = this->table.list(delta_prefix);
    const result<std::vector<table_row>> changes = this->table.list(change_prefix);
    if (!deltas || !changes) {
        return;
    }
    for (const table_row& row : *deltas) {
        if (row.key <= delta_key(last_covered)) {
            removals.push_back({row.key, std::nullopt});
        }
    }
    for (const table_row& row : *changes) {
        const result<std::uint64_t> version = parse_version(row);
        if (version && *version + max_remembered_changes < newest) {
            removals.push_back({row.key, std::nullopt});
        }
    }
    for (std::size_t begin = 0; begin < removals.size(); begin += max_removals) {
        const std::size_t end = std::min(begin + max_removals, removals.size());
        const std::vector<row_write> batch{removals.begin() + static_cast<std::ptrdiff_t>(begin),
                                           removals.begin() + static_cast<std::ptrdiff_t>(end)};
        // Rows that remain after a failure are removed after the next snapshot.
        if (!this->table.commit(table_transaction{{}, batch})) {
            return;
        }
    }
}

} // namespace pomelohoist
