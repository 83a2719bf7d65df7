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
    lane& own = this->lanes[item.importance];
    const tagged added = this->tag(item);
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

// The backlog of a workspace that floods does not delay the others, so it must not count for them: they would be
// refused for a wait that they do not have.
waiting_work fair_queue::work_before(const queue_item& item) const {
    const tagged added = this->tag(item);
    waiting_work total;
    for (const tagged& waiting : this->items) {
        if (comes_before(added, waiting)) {
            break;
        }
        total.work += waiting.item.work;
        ++total.requests;
    }
    return total;
}

// Start-time fair queueing: a workspace's tags advance by work / weight, so that its share of the endpoint's time is
// its weight, and an idle workspace cannot save up time.
fair_queue::tagged fair_queue::tag(const queue_item& item) const {
    tagged added{item, 0.0, 0.0};
    const auto own = this->lanes.find(item.importance);
    if (own != this->lanes.end()) {
        const auto last = own->second.last_finish.find(item.workspace);
        const bool is_known = last != own->second.last_finish.end();
        added.start_tag = std::max(own->second.virtual_time, is_known ? last->second : 0.0);
    }
    const double cost = static_cast<double>(std::max<std::int64_t>(item.work.count(), 1));
    added.finish_tag = added.start_tag + cost / std::max(item.weight, min_weight);
    return added;
}

bool fair_queue::comes_before(const tagged& left, const tagged& right) {
    if (left.item.importance != right.item.importance) {
        return left.item.importance < right.item.importance;
    }
    return left.finish_tag < right.finish_tag;
}

} // namespace pomelohoist
