#include "agent/completed_answers.h"

namespace pomelohoist {

void completed_answers::store(const ticket& id, const inner::stored_response& answer) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    if (answer.body.size() > this->byte_limit || !this->answers.emplace(id, answer).second) {
        return;
    }
    this->order.push_back({id, this->time.now() + config::completed_response_lifetime});
    this->bytes += answer.body.size();
    while (this->order.size() > config::max_completed_responses || this->bytes > this->byte_limit) {
        this->drop_oldest();
    }
}

std::optional<inner::stored_response> completed_answers::find(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    this->expire();
    const auto found = this->answers.find(id);
    if (found == this->answers.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::size_t completed_answers::size() {
    const std::lock_guard lock{this->mutex};
    this->expire();
    return this->answers.size();
}

void completed_answers::drop_oldest() {
    const auto found = this->answers.find(this->order.front().id);
    this->bytes -= found->second.body.size();
    this->answers.erase(found);
    this->order.pop_front();
}

void completed_answers::expire() {
    const steady_time now = this->time.now();
    while (!this->order.empty() && this->order.front().expires <= now) {
        this->drop_oldest();
    }
}

} // namespace pomelohoist
