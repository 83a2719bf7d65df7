#include "direct/known_endpoints.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

std::uint32_t milliseconds_left(steady_time now, steady_time until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
}

/// @returns true when the list has the instance, or a later start at the same address
bool is_replaced(const endpoint_record& record, const endpoint_list& list) {
    return std::any_of(list.endpoints.begin(), list.endpoints.end(), [&record](const endpoint_record& other) {
        return other.instance == record.instance ||
               (other.address == record.address && other.started_ms > record.started_ms);
    });
}

std::size_t count_ready(const std::vector<endpoint_record>& records) {
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(), [](const auto& record) { return !record.is_leaving; }));
}

} // namespace

std::optional<known_endpoints::kept_state> known_endpoints::find(const endpoint_incarnation& incarnation) const {
    if (const auto own = this->kept.find(incarnation); own != this->kept.end()) {
        return own->second;
    }
    const auto found = std::find_if(this->listed->endpoints.begin(), this->listed->endpoints.end(),
                                    [&](const auto& record) { return incarnation_of(record) == incarnation; });
    return found != this->listed->endpoints.end()
               ? std::optional{kept_state{*found, this->confirmed, steady_time::max()}}
               : std::nullopt;
}

bool known_endpoints::read(endpoint_list next, missing_endpoints missing, steady_time now) {
    if (this->listed && next.revision <= this->confirmed) {
        return false;
    }
    const bool is_confirmed = this->listed && this->listed->endpoints == next.endpoints &&
                              era_of_list(this->listed->revision) == era_of_list(next.revision);
    if (is_confirmed) {
        // The list keeps its revision, so that the other processes do not fetch it again.
        this->confirmed = next.revision;
        return true;
    }
    kept_endpoints still_kept = this->kept;
    // What this process has read itself may be older than the newest reading that it knows.
    if (missing == missing_endpoints::kept && this->listed) {
        for (const endpoint_record& record : this->listed->endpoints) {
            still_kept.try_emplace(incarnation_of(record),
                                   kept_state{record, this->confirmed, now + config::endpoint_return_time});
        }
    }
    this->replace(std::move(next), std::move(still_kept), now);
    return true;
}

bool known_endpoints::merge(const endpoint_reading& reported, steady_time asked_at, steady_time now) {
    if (this->listed && reported.listed.revision <= this->confirmed) {
        return false;
    }
    if (reported.hold) {
        this->departures.adopt_hold(reported.hold->departed, now,
                                    asked_at + std::chrono::milliseconds{reported.hold->left_ms});
    }
    kept_endpoints still_kept;
    for (const kept_endpoint& each : reported.kept) {
        const endpoint_incarnation incarnation = incarnation_of(each.endpoint);
        kept_state next{each.endpoint, each.listed_at, asked_at + std::chrono::milliseconds{each.left_ms}};
        if (this->listed) {
            const std::optional<kept_state> own = this->find(incarnation);
            if (!own && this->confirmed > next.listed_at) {
                continue;
            }
            if (own && own->listed_at > next.listed_at) {
                // The endpoint may have stated since that it leaves.
                next.endpoint = own->endpoint;
                next.listed_at = own->listed_at;
            }
            next.until = own ? std::min(own->until, next.until) : next.until;
        }
        still_kept[incarnation] = next;
    }
    this->replace(reported.listed, std::move(still_kept), now);
    return true;
}

void known_endpoints::replace(endpoint_list next, kept_endpoints still_kept, steady_time now) {
    std::erase_if(still_kept, [&next](const auto& each) { return is_replaced(each.second.endpoint, next); });
    this->kept = std::move(still_kept);
    this->confirmed = next.revision;
    this->listed = std::move(next);
    this->refresh(now);
}

bool known_endpoints::adopt_confirmed_revision() {
    if (!this->listed || this->listed->revision == this->confirmed) {
        return false;
    }
    this->listed->revision = this->confirmed;
    this->in_use.revision = this->confirmed;
    return true;
}

bool known_endpoints::apply_due_changes(steady_time now) {
    const std::size_t kept_before = this->kept.size();
    std::erase_if(this->kept, [now](const auto& each) { return each.second.until <= now; });
    if (this->kept.size() == kept_before && this->is_holding == this->departures.is_holding(now)) {
        return false;
    }
    const std::vector<endpoint_record> before = this->in_use.endpoints;
    this->refresh(now);
    return this->in_use.endpoints != before;
}

void known_endpoints::refresh(steady_time now) {
    if (!this->listed) {
        return;
    }
    endpoint_list next = *this->listed;
    for (const auto& [incarnation, each] : this->kept) {
        if (now < each.until) {
            next.endpoints.push_back(each.endpoint);
        }
    }
    std::sort(next.endpoints.begin(), next.endpoints.end(),
              [](const auto& left, const auto& right) { return left.instance < right.instance; });
    this->is_holding = this->departures.is_holding(now);
    this->departed_count = 0;
    if (this->is_holding) {
        const std::size_t ready = count_ready(next.endpoints);
        next.endpoints = this->departures.without_departed(std::move(next.endpoints));
        this->departed_count = ready - count_ready(next.endpoints);
    }
    this->departures.record(this->in_use.endpoints, next.endpoints, now);
    this->in_use = std::move(next);
}

endpoint_reading known_endpoints::report(steady_time now) const {
    endpoint_reading reported{*this->listed};
    for (const auto& [incarnation, each] : this->kept) {
        if (now < each.until) {
            reported.kept.push_back({each.endpoint, each.listed_at, milliseconds_left(now, each.until)});
        }
    }
    reported.hold = this->departures.hold(now);
    return reported;
}

} // namespace pomelohoist
