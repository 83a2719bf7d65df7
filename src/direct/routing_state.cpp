#include "direct/routing_state.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pomelohoist {

routing_snapshot routing_state::current() const {
    const std::lock_guard lock{this->mutex};
    return this->content;
}

bool routing_state::apply_routing(routing_content content_read) {
    const std::uint64_t version = content_read.version;
    const std::size_t routes = content_read.routes.size();
    auto next = std::make_shared<const routing_table>(std::move(content_read));
    {
        const std::lock_guard lock{this->mutex};
        if (this->content.routing && this->content.routing->version() >= version) {
            return false;
        }
        this->content.routing = std::move(next);
    }
    this->log.info("routing_applied", {{"version", std::to_string(version)}, {"routes", std::to_string(routes)}});
    return true;
}

bool routing_state::apply_endpoints(endpoint_list list) {
    const std::uint64_t revision = list.revision;
    const auto leaving = std::count_if(list.endpoints.begin(), list.endpoints.end(),
                                       [](const endpoint_record& record) { return record.is_leaving; });
    const std::size_t number = list.endpoints.size();
    auto next = std::make_shared<const endpoint_list>(std::move(list));
    {
        const std::lock_guard lock{this->mutex};
        if (this->content.endpoints && this->content.endpoints->revision >= revision) {
            return false;
        }
        this->content.endpoints = std::move(next);
    }
    this->log.info("endpoints_applied", {{"revision", std::to_string(revision)},
                                         {"endpoints", std::to_string(number)},
                                         {"leaving", std::to_string(leaving)}});
    return true;
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
