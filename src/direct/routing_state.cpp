#include "direct/routing_state.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace pomelohoist {

routing_versions routing_snapshot::versions() const {
    return {this->routing ? this->routing->version() : 0, this->endpoints ? this->endpoints->revision : 0,
            this->evacuations ? this->evacuations->revision : 0};
}

routing_snapshot routing_state::current() const {
    const std::lock_guard lock{this->mutex};
    return this->content;
}

bool routing_state::apply_routing(routing_content content_read) {
    const std::uint64_t version = content_read.version;
    const std::string routes = std::to_string(content_read.routes.size());
    const std::string workspaces = content_read.workspaces ? std::to_string(content_read.workspaces->size()) : "none";
    auto next = std::make_shared<const routing_table>(std::move(content_read));
    {
        const std::lock_guard lock{this->mutex};
        if (this->content.routing && this->content.routing->version() >= version) {
            return false;
        }
        this->content.routing = std::move(next);
    }
    this->log.info("routing_applied",
                   {{"version", std::to_string(version)}, {"routes", routes}, {"workspaces", workspaces}});
    return true;
}

bool routing_state::record_era(std::uint64_t era, steady_time hold_until) {
    const bool is_restored = this->store_era && *this->store_era < era;
    this->store_era = std::max(this->store_era.value_or(era), era);
    if (is_restored) {
        this->endpoints.begin_hold(this->time.now(), hold_until);
    }
    return is_restored;
}

void routing_state::observe_era(std::uint64_t era) {
    std::uint64_t list = 0;
    {
        const std::lock_guard lock{this->mutex};
        if (!this->record_era(era, this->time.now() + config::restored_registration_time)) {
            return;
        }
        list = this->content.versions().endpoints;
    }
    this->log.warn("store_restored", {{"era", std::to_string(era)}, {"list", std::to_string(list)}});
}

std::optional<steady_time> routing_state::last_restore() const {
    const std::lock_guard lock{this->mutex};
    return this->endpoints.last_restore();
}

routing_state::published_endpoints routing_state::publish_endpoints() {
    this->content.endpoints = std::make_shared<const endpoint_list>(this->endpoints.used());
    return {this->content.endpoints, this->endpoints.kept_count(), this->endpoints.departed()};
}

bool routing_state::apply_endpoints(endpoint_list list, missing_endpoints missing) {
    published_endpoints applied;
    {
        const std::lock_guard lock{this->mutex};
        const steady_time now = this->time.now();
        const std::uint64_t revision = list.revision;
        if (revision > this->endpoints.confirmed_revision()) {
            this->record_era(era_of_list(revision), now + config::restored_registration_time);
        }
        if (!this->endpoints.read(std::move(list), missing, now)) {
            return false;
        }
        if (this->endpoints.used().revision != revision) {
            return true; // the list in use is confirmed
        }
        applied = this->publish_endpoints();
    }
    this->log_endpoints(applied);
    return true;
}

bool routing_state::merge_endpoints(const endpoint_reading& reported, steady_time asked_at) {
    published_endpoints applied;
    {
        const std::lock_guard lock{this->mutex};
        const steady_time now = this->time.now();
        const std::uint64_t revision = reported.listed.revision;
        if (this->endpoints.has_reading() && revision <= this->endpoints.confirmed_revision()) {
            return false;
        }
        // The other process may have known of the restore for some time.
        this->record_era(era_of_list(revision), reported.hold
                                                    ? asked_at + std::chrono::milliseconds{reported.hold->left_ms}
                                                    : now + config::restored_registration_time);
        this->endpoints.merge(reported, asked_at, now);
        applied = this->publish_endpoints();
    }
    this->log_endpoints(applied);
    return true;
}

std::optional<endpoint_reading> routing_state::endpoint_report() const {
    const std::lock_guard lock{this->mutex};
    return this->endpoints.has_reading() ? std::optional{this->endpoints.report(this->time.now())} : std::nullopt;
}

void routing_state::apply_due_changes() {
    published_endpoints changed;
    {
        const std::lock_guard lock{this->mutex};
        if (!this->endpoints.apply_due_changes(this->time.now())) {
            return;
        }
        changed = this->publish_endpoints();
    }
    this->log_endpoints(changed);
}

bool routing_state::apply_evacuations(evacuation_list list) {
    auto next = std::make_shared<const evacuation_list>(std::move(list));
    std::shared_ptr<const evacuation_list> previous;
    {
        const std::lock_guard lock{this->mutex};
        previous = this->content.evacuations;
        if (previous && this->confirmed_evacuations >= next->revision) {
            return false;
        }
        this->confirmed_evacuations = next->revision;
        this->content.evacuations = next;
    }
    this->log_evacuations(previous ? *previous : evacuation_list{}, *next);
    return true;
}

void routing_state::read_evacuations(evacuation_list list) {
    {
        const std::lock_guard lock{this->mutex};
        const std::shared_ptr<const evacuation_list>& current = this->content.evacuations;
        if (!current && list.data_centres.empty()) {
            return;
        }
        if (current && current->data_centres == list.data_centres &&
            era_of_list(current->revision) == era_of_list(list.revision)) {
            this->confirmed_evacuations = std::max(this->confirmed_evacuations, list.revision);
            return;
        }
    }
    this->apply_evacuations(std::move(list));
}

routing_versions routing_state::confirmed_versions() const {
    const std::lock_guard lock{this->mutex};
    return {this->content.versions().routing, this->endpoints.confirmed_revision(), this->confirmed_evacuations};
}

void routing_state::adopt_confirmed_versions() {
    published_endpoints confirmed;
    {
        const std::lock_guard lock{this->mutex};
        if (this->content.evacuations && this->content.evacuations->revision != this->confirmed_evacuations) {
            this->content.evacuations = std::make_shared<const evacuation_list>(
                evacuation_list{this->confirmed_evacuations, this->content.evacuations->data_centres});
        }
        if (!this->endpoints.adopt_confirmed_revision()) {
            return;
        }
        confirmed = this->publish_endpoints();
    }
    this->log_endpoints(confirmed);
}

void routing_state::log_evacuations(const evacuation_list& previous, const evacuation_list& next) {
    const std::string revision = std::to_string(next.revision);
    for (const std::string& name : next.data_centres) {
        if (!previous.contains(name)) {
            this->log.warn("data_centre_evacuated", {{"data_centre", name}, {"revision", revision}});
        }
    }
    for (const std::string& name : previous.data_centres) {
        if (!next.contains(name)) {
            this->log.info("data_centre_returned", {{"data_centre", name}, {"revision", revision}});
        }
    }
}

void routing_state::log_endpoints(const published_endpoints& published) {
    const std::vector<endpoint_record>& records = published.list->endpoints;
    const auto leaving =
        std::count_if(records.begin(), records.end(), [](const endpoint_record& record) { return record.is_leaving; });
    this->log.info("endpoints_applied", {{"revision", std::to_string(published.list->revision)},
                                         {"endpoints", std::to_string(records.size())},
                                         {"leaving", std::to_string(leaving)},
                                         {"kept", std::to_string(published.kept)},
                                         {"departed", std::to_string(published.departed)}});
}

void routing_state::record_store_read(std::chrono::milliseconds age) {
    const steady_time read_at = this->time.now() - age;
    const std::lock_guard lock{this->mutex};
    if (!this->store_read_at || *this->store_read_at < read_at) {
        this->store_read_at = read_at;
    }
}

std::optional<std::chrono::milliseconds> routing_state::store_age() const {
    const std::lock_guard lock{this->mutex};
    if (!this->store_read_at) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->time.now() - *this->store_read_at);
}

} // namespace pomelohoist
