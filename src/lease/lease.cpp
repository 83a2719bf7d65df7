#include "lease/lease.h"

#include <pomelohoist/config.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace pomelohoist {

namespace {

using nlohmann::json;

std::string to_text(const lease_row& row) {
    return json{{"holder", row.holder}, {"epoch", row.epoch}, {"renewal", row.renewal}}.dump();
}

std::optional<lease_row> parse(const std::string& text) {
    try {
        const json content = json::parse(text);
        return lease_row{content.at("holder").get<std::string>(), content.at("epoch").get<std::uint64_t>(),
                         content.at("renewal").get<std::uint64_t>()};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

lease::lease(table_service& rows, const clock& time_source, const fencing_gate& admitted, std::string group,
             std::string holder)
    : table(rows), time(time_source), gate(admitted), key("lease/" + std::move(group)), name(std::move(holder)) {}

std::optional<std::uint64_t> lease::try_hold() {
    const result<std::optional<table_row>> read = this->table.get(this->key);
    if (!read) {
        return this->held_epoch();
    }
    const std::optional<table_row>& row = *read;
    this->highest_epoch = std::max({this->highest_epoch, this->gate.highest(), this->own_epoch, this->attempted_epoch});
    if (!row) {
        return this->try_hold_missing();
    }
    const std::optional<lease_row> content = parse(row->value);
    if (!content) {
        // A malformed row is not replaced: the next epoch must be higher than the epoch of the row, which is unknown,
        // and a guessed epoch could be lower.
        return this->held_epoch();
    }
    // The store was restored from a copy that does not have the latest holder, which may still hold the lease.
    const bool is_outdated = content->epoch < this->highest_epoch;
    this->highest_epoch = std::max(this->highest_epoch, content->epoch);
    if (!is_outdated && this->is_own(*content)) {
        // No other process has written the row since this process did, so the epoch is still valid, even if the
        // lease has expired.
        // Never the same row twice, or after a restore others would take a renewal for one that they saw long before.
        this->last_renewal = std::max(this->last_renewal, content->renewal) + 1;
        return this->write(row, lease_row{this->name, content->epoch, this->last_renewal});
    }
    const bool has_expired = this->has_expired(row);
    if ((content->holder.empty() && !is_outdated) || has_expired) {
        return this->write(row, lease_row{this->name, this->highest_epoch + 1, 0});
    }
    return is_outdated ? this->held_epoch() : std::nullopt;
}

std::optional<std::uint64_t> lease::try_hold_missing() {
    // The epoch of a removed row is lost; the highest epoch that this process knows is a lower bound of it. Unless that
    // is the epoch of this process, another process may still hold the lease.
    const std::optional<std::uint64_t> held = this->held_epoch();
    if (this->highest_epoch > 0 && held != this->highest_epoch && !this->has_expired(std::nullopt)) {
        return held;
    }
    return this->write(std::nullopt, lease_row{this->name, this->highest_epoch + 1, 0});
}

bool lease::is_own(const lease_row& content) const {
    // The epoch is compared as well, because the row may be that of an earlier process with the same name.
    return content.holder == this->name && (content.epoch == this->own_epoch || content.epoch == this->attempted_epoch);
}

// Records when this process first read the row as it is now; the clocks of different hosts are not compared.
bool lease::has_expired(const std::optional<table_row>& row) {
    const steady_time now = this->time.now();
    // Not the revision alone: a store that was restored from an older copy gives out revisions again.
    if (!this->has_observed || row != this->observed) {
        this->has_observed = true;
        this->observed = row;
        this->observed_since = now;
        return false;
    }
    return now - this->observed_since >= config::lease_lifetime + config::lease_margin;
}

std::optional<std::uint64_t> lease::write(const std::optional<table_row>& previous, const lease_row& next) {
    // The lifetime is counted from before the write. A challenger counts from its first read of the new revision, which
    // is later, so the lease expires here before a challenger can acquire it.
    const steady_time begin = this->time.now();
    this->attempted_epoch = next.epoch;
    const result<transaction_outcome> outcome = this->table.commit(
        table_transaction{{row_condition{this->key, previous ? previous->revision : 0}}, {{this->key, to_text(next)}}});
    if (!outcome) {
        if (!this->is_written(next)) {
            return this->held_epoch();
        }
    } else if (!outcome->committed) {
        // Another process has written the row, so a lease of this process had already expired.
        const std::lock_guard lock{this->mutex};
        this->valid_until = {};
        return std::nullopt;
    }
    {
        const std::lock_guard lock{this->mutex};
        this->own_epoch = next.epoch;
        this->valid_until = begin + config::lease_lifetime;
    }
    return this->held_epoch();
}

bool lease::is_written(const lease_row& next) {
    const result<std::optional<table_row>> read = this->table.get(this->key);
    return read && *read && parse((*read)->value) == std::optional{next};
}

std::optional<std::uint64_t> lease::held_epoch() const {
    const std::lock_guard lock{this->mutex};
    if (this->own_epoch == 0 || this->time.now() >= this->valid_until) {
        return std::nullopt;
    }
    return this->own_epoch;
}

void lease::release() {
    {
        const std::lock_guard lock{this->mutex};
        this->valid_until = {};
    }
    const result<std::optional<table_row>> read = this->table.get(this->key);
    if (!read || !*read) {
        return;
    }
    const table_row& row = **read;
    const std::optional<lease_row> content = parse(row.value);
    if (!content || !this->is_own(*content)) {
        return;
    }
    // The row keeps the epoch, so that the next holder's epoch is higher. If the write fails, the lease expires.
    const lease_row released{"", content->epoch, content->renewal + 1};
    this->table.commit(table_transaction{{row_condition{this->key, row.revision}}, {{this->key, to_text(released)}}});
    const std::lock_guard lock{this->mutex};
    this->own_epoch = 0;
    this->attempted_epoch = 0;
}

bool fencing_gate::admit(std::uint64_t epoch) {
    const std::lock_guard lock{this->mutex};
    if (epoch < this->highest_epoch) {
        return false;
    }
    this->highest_epoch = epoch;
    return true;
}

std::uint64_t fencing_gate::highest() const {
    const std::lock_guard lock{this->mutex};
    return this->highest_epoch;
}

} // namespace pomelohoist
