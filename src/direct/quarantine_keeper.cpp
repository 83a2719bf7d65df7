#include "direct/quarantine_keeper.h"

#include <algorithm>
#include <vector>

namespace pomelohoist {

namespace {

// Processes compute the expiry from ages in messages, so the results differ by the delays of the messages.
constexpr std::chrono::seconds expiry_tolerance{10};

std::uint32_t to_milliseconds(wall_time::duration span) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(milliseconds, 0));
}

} // namespace

result<done> quarantine_keeper::load() {
    this->calls.add();
    const result<std::vector<stored_quarantine>> rows = this->store.read_quarantines();
    if (!rows) {
        return rows.last_error();
    }
    const wall_time now = this->time.wall_now();
    std::vector<inner::reported_quarantine> in_force;
    this->stored.clear();
    for (const stored_quarantine& row : *rows) {
        this->stored[row.trait] = row;
        if (now < row.until) {
            in_force.push_back({row.trait, to_milliseconds(now - row.since), to_milliseconds(row.until - now)});
        }
    }
    this->crashes.adopt(in_force);
    return done{};
}

result<done> quarantine_keeper::save() {
    const wall_time now = this->time.wall_now();
    std::map<request_trait, stored_quarantine> current;
    for (const inner::reported_quarantine& held : this->crashes.quarantines()) {
        current[held.trait] = {held.trait, now - std::chrono::milliseconds{held.age_ms},
                               now + std::chrono::milliseconds{held.left_ms}};
    }
    const result<done> added = this->store_new(current);
    return added ? this->remove_ended(current) : added;
}

result<done> quarantine_keeper::store_new(const std::map<request_trait, stored_quarantine>& current) {
    for (const auto& [trait, held] : current) {
        const auto known = this->stored.find(trait);
        if (known != this->stored.end() && held.until <= known->second.until + expiry_tolerance) {
            continue;
        }
        this->calls.add();
        const result<done> written = this->store.write_quarantine(held);
        if (!written) {
            return written.last_error();
        }
        this->stored[trait] = held;
    }
    return done{};
}

result<done> quarantine_keeper::remove_ended(const std::map<request_trait, stored_quarantine>& current) {
    for (auto known = this->stored.begin(); known != this->stored.end();) {
        if (current.contains(known->first)) {
            ++known;
            continue;
        }
        this->calls.add();
        const result<done> removed = this->store.remove_quarantine(known->first);
        if (!removed) {
            return removed.last_error();
        }
        known = this->stored.erase(known);
    }
    return done{};
}

} // namespace pomelohoist
