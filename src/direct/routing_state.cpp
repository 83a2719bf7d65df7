#include "direct/routing_state.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pomelohoist {

namespace {

/// @returns the number of endpoints that the store lists as ready although they had left
std::size_t count_departed(const endpoint_list& listed, const endpoint_list& used) {
    const auto ready = [](const endpoint_list& list) {
        return static_cast<std::size_t>(std::count_if(list.endpoints.begin(), list.endpoints.end(),
                                                      [](const auto& record) { return !record.is_leaving; }));
    };
    return ready(listed) - ready(used);
}

} // namespace

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

bool routing_state::record_era(std::uint64_t era) {
    const bool is_restored = this->store_era && *this->store_era < era;
    this->store_era = std::max(this->store_era.value_or(era), era);
    if (is_restored) {
        this->departures.begin_hold(this->time.now());
    }
    return is_restored;
}

void routing_state::observe_era(std::uint64_t era) {
    std::uint64_t list = 0;
    {
        const std::lock_guard lock{this->mutex};
        if (!this->record_era(era)) {
            return;
        }
        list = this->content.endpoints ? this->content.endpoints->revision : 0;
    }
    this->log.warn("store_restored", {{"era", std::to_string(era)}, {"list", std::to_string(list)}});
}

std::optional<steady_time> routing_state::last_restore() const {
    const std::lock_guard lock{this->mutex};
    return this->departures.last_restore();
}

bool routing_state::apply_endpoints(endpoint_list list) {
    const std::uint64_t revision = list.revision;
    const steady_time now = this->time.now();
    std::shared_ptr<const endpoint_list> applied;
    std::size_t departed = 0;
    {
        const std::lock_guard lock{this->mutex};
        const std::shared_ptr<const endpoint_list> current = this->content.endpoints;
        if (current && current->revision >= revision) {
            return false;
        }
        this->record_era(era_of_list(revision));
        applied = std::make_shared<const endpoint_list>(std::move(list));
        this->held_list.reset();
        if (this->departures.is_holding(now)) {
            endpoint_list used{revision, this->departures.without_departed(applied->endpoints)};
            if (used != *applied) {
                departed = count_departed(*applied, used);
                this->held_list = applied;
                applied = std::make_shared<const endpoint_list>(std::move(used));
            }
        }
        if (current) {
            this->departures.record(current->endpoints, applied->endpoints, now);
        }
        this->content.endpoints = applied;
    }
    this->log_endpoints(*applied, departed);
    return true;
}

void routing_state::end_hold() {
    std::shared_ptr<const endpoint_list> released;
    {
        const std::lock_guard lock{this->mutex};
        if (!this->held_list || this->departures.is_holding(this->time.now())) {
            return;
        }
        released = std::move(this->held_list);
        this->held_list.reset();
        this->content.endpoints = released;
    }
    this->log_endpoints(*released, 0);
}

bool routing_state::apply_evacuations(evacuation_list list) {
    auto next = std::make_shared<const evacuation_list>(std::move(list));
    std::shared_ptr<const evacuation_list> previous;
    {
        const std::lock_guard lock{this->mutex};
        previous = this->content.evacuations;
        if (previous && previous->revision >= next->revision) {
            return false;
        }
        this->content.evacuations = next;
    }
    this->log_evacuations(previous ? *previous : evacuation_list{}, *next);
    return true;
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

void routing_state::log_endpoints(const endpoint_list& list, std::size_t departed) {
    const auto leaving = std::count_if(list.endpoints.begin(), list.endpoints.end(),
                                       [](const endpoint_record& record) { return record.is_leaving; });
    this->log.info("endpoints_applied", {{"revision", std::to_string(list.revision)},
                                         {"endpoints", std::to_string(list.endpoints.size())},
                                         {"leaving", std::to_string(leaving)},
                                         {"departed", std::to_string(departed)}});
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
