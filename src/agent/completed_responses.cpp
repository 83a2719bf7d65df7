#include "agent/completed_responses.h"

namespace pomelohoist {

void completed_responses::store(const ticket& id, const inner::stored_response& response) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    if (response.body.size() > this->byte_limit || !this->responses.emplace(id, response).second) {
        return;
    }
    this->expiry_order.push_back({id, this->time.now() + config::completed_response_lifetime});
    this->bytes += response.body.size();
    while (this->expiry_order.size() > config::max_completed_responses || this->bytes > this->byte_limit) {
        this->drop_oldest();
    }
}

std::optional<inner::stored_response> completed_responses::find(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    const auto found = this->responses.find(id);
    if (found == this->responses.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t completed_responses::size() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    return this->responses.size();
}

void completed_responses::drop_oldest() {
    const auto found = this->responses.find(this->expiry_order.front().id);
    this->bytes -= found->second.body.size();
    this->responses.erase(found);
    this->expiry_order.pop_front();
}

void completed_responses::expire() {
    const steady_time now = this->time.now();
    while (!this->expiry_order.empty() && this->expiry_order.front().expires <= now) {
        this->drop_oldest();
    }
}

} // namespace pomelohoist
