#include "agent/fair_queue.h"

#include <algorithm>

namespace pomelohoist {

namespace {

constexpr double min_weight = 0.001;
constexpr std::size_t max_idle_workspaces = 1024;

} // namespace

std::optional<queue_refusal> refuse_if_late(std::chrono::milliseconds expected_wait,
                                            std::chrono::milliseconds time_left) {
    if (expected_wait <= time_left) {
        return std::nullopt;
    }
    return queue_refusal{{error_kind::overloaded, "the request could not start before its deadline"},
                         expected_wait - time_left};
}

void fair_queue::push(const queue_item& item) {
    // Start-time fair queueing: a workspace's tags advance by work / weight, so that its share of the endpoint's time
    // is its weight, and an idle workspace cannot save up time.
    lane& own = this->lanes[item.importance];
    tagged added{item, own.virtual_time, 0.0};
    const auto last = own.last_finish.find(item.workspace);
    if (last != own.last_finish.end()) {
        added.start_tag = std::max(own.virtual_time, last->second);
    }
    const double cost = static_cast<double>(std::max<std::int64_t>(item.work.count(), 1));
    added.finish_tag = added.start_tag + cost / std::max(item.weight, min_weight);
    if (own.last_finish.size() >= max_idle_workspaces) {
        std::erase_if(own.last_finish, [&own](const auto& entry) { return entry.second <= own.virtual_time; });
    }
    own.last_finish[item.workspace] = added.finish_tag;
    const auto position = std::find_if(this->items.begin(), this->items.end(),
                                       [&added](const tagged& other) { return comes_before(added, other); });
    this->items.insert(position, added);
}

std::optional<queue_item> fair_queue::pop(const std::function<bool(const queue_item&)>& may_run) {
    const auto next = std::find_if(this->items.begin(), this->items.end(),
                                   [&may_run](const tagged& waiting) { return may_run(waiting.item); });
    if (next == this->items.end()) {
        return std::nullopt;
    }
    lane& own = this->lanes[next->item.importance];
    own.virtual_time = std::max(own.virtual_time, next->start_tag);
    queue_item taken = next->item;
    this->items.erase(next);
    return taken;
}

std::vector<queue_item> fair_queue::take_expired() {
    const steady_time now = this->time.now();
    std::vector<queue_item> expired;
    for (auto waiting = this->items.begin(); waiting != this->items.end();) {
        if (waiting->item.latest_start < now) {
            expired.push_back(waiting->item);
            waiting = this->items.erase(waiting);
        } else {
            ++waiting;
        }
    }
    return expired;
}

bool fair_queue::remove(const ticket& id) {
    return std::erase_if(this->items, [&id](const tagged& waiting) { return waiting.item.id == id; }) > 0;
}

std::chrono::milliseconds fair_queue::work_before(priority importance) const {
    std::chrono::milliseconds total{0};
    for (const tagged& waiting : this->items) {
        if (waiting.item.importance <= importance) {
            total += waiting.item.work;
        }
    }
    return total;
}

bool fair_queue::comes_before(const tagged& left, const tagged& right) {
    if (left.item.importance != right.item.importance) {
        return left.item.importance < right.item.importance;
    }
    return left.finish_tag < right.finish_tag;
}

} // namespace pomelohoist
