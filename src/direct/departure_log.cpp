#include "direct/departure_log.h"

#include <pomelohoist/config.h>

#include <algorithm>

namespace pomelohoist {

void departure_log::record(const std::vector<endpoint_record>& previous, const std::vector<endpoint_record>& next,
                           steady_time now) {
    std::map<endpoint_incarnation, bool> is_leaving;
    for (const endpoint_record& record : next) {
        is_leaving[incarnation_of(record)] = record.is_leaving;
    }
    for (const endpoint_record& record : previous) {
        const auto found = is_leaving.find(incarnation_of(record));
        const bool is_removed = found == is_leaving.end();
        if (is_removed || found->second) {
            departure& known =
                this->departures.try_emplace(incarnation_of(record), departure{now, false}).first->second;
            known.is_removed = known.is_removed || is_removed;
        }
    }
    const steady_time oldest = (this->is_holding(now) ? this->held_before : now) - config::departure_memory;
    std::erase_if(this->departures, [oldest](const auto& entry) { return entry.second.at < oldest; });
}

bool departure_log::is_holding(steady_time now) const {
    return this->held_until && now < *this->held_until;
}

const departure_log::departure* departure_log::find_held(const endpoint_record& record) const {
    const auto found = this->departures.find(incarnation_of(record));
    // An endpoint that the copy does not list is removed after the restore, and registers again if it still runs.
    return found != this->departures.end() && found->second.at < this->held_before ? &found->second : nullptr;
}

void departure_log::begin_hold(steady_time now, steady_time until) {
    this->restored_at = now;
    this->held_before = now;
    this->held_until = until;
}

void departure_log::adopt_hold(const std::vector<reported_departure>& departed, steady_time now, steady_time until) {
    if (this->held_until) {
        return;
    }
    for (const reported_departure& each : departed) {
        this->departures[{each.instance, each.started_ms}] = {now, each.is_removed};
    }
    this->held_before = now + std::chrono::milliseconds{1};
    this->held_until = until;
}

std::optional<reported_hold> departure_log::hold(steady_time now) const {
    if (!this->is_holding(now)) {
        return std::nullopt;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*this->held_until - now);
    reported_hold reported{static_cast<std::uint32_t>(left.count()), {}};
    for (const auto& [incarnation, each] : this->departures) {
        if (each.at < this->held_before) {
            reported.departed.push_back({incarnation.first, incarnation.second, each.is_removed});
        }
    }
    return reported;
}

std::vector<endpoint_record> departure_log::without_departed(std::vector<endpoint_record> records) const {
    std::erase_if(records, [this](const endpoint_record& record) {
        const departure* held = this->find_held(record);
        return held != nullptr && held->is_removed;
    });
    for (endpoint_record& record : records) {
        record.is_leaving = record.is_leaving || this->find_held(record) != nullptr;
    }
    return records;
}

} // namespace pomelohoist
