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
    priority_class& item_class = this->priority_classes[item.importance];
    const tagged_item added = this->tag(item);
    // Removes the finish tags that the virtual time has reached: they no longer affect the next start tag of their
    // workspace.
    if (item_class.last_finish.size() >= max_idle_workspaces) {
        std::erase_if(item_class.last_finish,
                      [&item_class](const auto& entry) { return entry.second <= item_class.virtual_time; });
    }
    item_class.last_finish[item.workspace] = added.finish_tag;
    const auto position = std::find_if(this->items.begin(), this->items.end(),
                                       [&added](const tagged_item& queued) { return comes_before(added, queued); });
    this->items.insert(position, added);
}

std::optional<queue_item> fair_queue::pop(const std::function<bool(const queue_item&)>& may_run) {
    const auto next = std::find_if(this->items.begin(), this->items.end(),
                                   [&may_run](const tagged_item& waiting) { return may_run(waiting.item); });
    if (next == this->items.end()) {
        return std::nullopt;
    }
    priority_class& item_class = this->priority_classes[next->item.importance];
    item_class.virtual_time = std::max(item_class.virtual_time, next->start_tag);
    queue_item popped = next->item;
    this->items.erase(next);
    return popped;
}

std::vector<queue_item> fair_queue::extract_expired() {
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
    return std::erase_if(this->items, [&id](const tagged_item& waiting) { return waiting.item.id == id; }) > 0;
}

// Adds up only the items that are served before the given item, because the backlog of one workspace does not delay
// other workspaces. With the full backlog, requests of other workspaces would be refused for a wait that they do not
// have.
waiting_work fair_queue::work_before(const queue_item& item) const {
    const tagged_item added = this->tag(item);
    waiting_work total;
    for (const tagged_item& waiting : this->items) {
        if (comes_before(added, waiting)) {
            break;
        }
        total.work += waiting.item.work;
        ++total.requests;
    }
    return total;
}

// Start-time fair queueing: a workspace's tags advance by work / weight, so that its share of the endpoint's time is
// proportional to its weight, and an idle workspace cannot accumulate credit.
fair_queue::tagged_item fair_queue::tag(const queue_item& item) const {
    tagged_item added{item, 0.0, 0.0};
    const auto item_class = this->priority_classes.find(item.importance);
    if (item_class != this->priority_classes.end()) {
        const auto last = item_class->second.last_finish.find(item.workspace);
        const bool has_finish_tag = last != item_class->second.last_finish.end();
        added.start_tag = std::max(item_class->second.virtual_time, has_finish_tag ? last->second : 0.0);
    }
    const double cost = static_cast<double>(std::max<std::int64_t>(item.work.count(), 1));
    added.finish_tag = added.start_tag + cost / std::max(item.weight, min_weight);
    return added;
}

bool fair_queue::comes_before(const tagged_item& left, const tagged_item& right) {
    if (left.item.importance != right.item.importance) {
        return left.item.importance < right.item.importance;
    }
    return left.finish_tag < right.finish_tag;
}

} // namespace pomelohoist
