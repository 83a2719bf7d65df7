#include "direct/connection_pool.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

std::unique_ptr<http_connection> connection_pool::acquire(const std::string& instance) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->idle.find(instance);
    while (found != this->idle.end() && !found->second.empty()) {
        std::unique_ptr<http_connection> last = std::move(found->second.back());
        found->second.pop_back();
        if (!this->has_expired(*last) && !last->is_unusable()) {
            return last;
        }
    }
    return nullptr;
}

void connection_pool::release(const std::string& instance, std::unique_ptr<http_connection> connection) {
    if (!connection->is_reusable()) {
        return;
    }
    connection->idle_since = this->time.now();
    const std::lock_guard lock{this->mutex};
    auto& kept = this->idle[instance];
    std::erase_if(kept, [this](const auto& old) { return this->has_expired(*old); });
    if (kept.size() < config::max_idle_connections) {
        kept.push_back(std::move(connection));
    }
}

bool connection_pool::has_expired(const http_connection& connection) const {
    return this->time.now() - connection.idle_since >= connection.idle_limit.value_or(config::idle_connection_default);
}

void connection_pool::retain_only(const std::vector<std::string>& instances) {
    const std::lock_guard lock{this->mutex};
    std::erase_if(this->idle, [&instances](const auto& entry) {
        return std::find(instances.begin(), instances.end(), entry.first) == instances.end();
    });
}

} // namespace pomelohoist
