#include "agent/run_scheduler.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <chrono>

namespace pomelohoist {

namespace {

// Upper bound of the delay until a waiting thread detects that its entry has disconnected.
constexpr std::chrono::milliseconds abandoned_check_interval{20};

} // namespace

run_scheduler::run_scheduler(const clock& time_source, std::uint32_t endpoint_slots, ticket_table& agent_tickets,
                             load_model& endpoint_load, suspect_list& known_suspects, const endpoint_state& endpoint)
    : time(time_source), slots(endpoint_slots), tickets(agent_tickets), load(endpoint_load), suspects(known_suspects),
      state(endpoint), queue(time_source) {}

load_estimate run_scheduler::estimate(const queue_item& item, const request_size& size) {
    // An entry reserves tickets at several agents and uses one of them.
    const std::size_t expected_tickets = this->tickets.unused_count() / config::reserve_candidates;
    const std::lock_guard lock{this->mutex};
    return this->estimate_locked(item, size, expected_tickets);
}

slot_wait_state run_scheduler::wait_for_slot(const queue_item& item, const request_size& size,
                                             const std::function<bool()>& is_abandoned,
                                             const std::function<void()>& on_queued) {
    std::unique_lock lock{this->mutex};
    waiting_run& waiting = this->waiting_runs[item.id];
    waiting.size = size;
    this->sweep();
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(item.latest_start - this->time.now());
    if (refuse_if_late(this->estimate_locked(item, size, 0).wait, time_left)) {
        this->drop(item.id, slot_wait_state::late);
    } else {
        this->queue.push(item);
        this->dispatch();
    }
    if (waiting.state == slot_wait_state::waiting) {
        // The callback may write to a socket, which must not block other runs.
        lock.unlock();
        on_queued();
        lock.lock();
    }
    while (waiting.state == slot_wait_state::waiting) {
        waiting.decided.wait_for(lock, abandoned_check_interval);
        this->sweep();
        if (waiting.state == slot_wait_state::waiting && is_abandoned()) {
            this->queue.remove(item.id);
            this->drop(item.id, slot_wait_state::cancelled);
        }
    }
    const slot_wait_state slot_outcome = waiting.state;
    this->waiting_runs.erase(item.id);
    return slot_outcome;
}

void run_scheduler::release(const ticket& id, bool completed) {
    const std::lock_guard lock{this->mutex};
    this->load.on_end(id, completed);
    this->running_digests.erase(id);
    this->dispatch();
}

void run_scheduler::on_voided(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    if (this->queue.remove(id)) {
        this->drop(id, slot_wait_state::cancelled);
        this->dispatch();
    }
}

std::size_t run_scheduler::queued() {
    const std::lock_guard lock{this->mutex};
    return this->queue.size();
}

std::size_t run_scheduler::running() {
    const std::lock_guard lock{this->mutex};
    return this->running_digests.size();
}

load_estimate run_scheduler::estimate_locked(const queue_item& item, const request_size& size,
                                             std::size_t unused_tickets) {
    const waiting_work queued_work = this->queue.work_before(item);
    const std::chrono::milliseconds unused_work = this->load.work(size) * static_cast<std::int64_t>(unused_tickets);
    return this->load.estimate(size, queued_work.work + unused_work, queued_work.requests + unused_tickets);
}

void run_scheduler::dispatch() {
    while (this->running_digests.size() < this->slots) {
        const auto next = this->queue.pop([this](const queue_item& candidate) { return this->may_run(candidate); });
        if (!next) {
            return;
        }
        waiting_run& waiting = this->waiting_runs.at(next->id);
        const slot_wait_state slot_outcome = this->decide(*next, waiting.size);
        if (slot_outcome == slot_wait_state::granted) {
            waiting.state = slot_outcome;
            waiting.decided.notify_one();
        } else {
            this->drop(next->id, slot_outcome);
        }
    }
}

slot_wait_state run_scheduler::decide(const queue_item& next, const request_size& size) {
    if (!this->state.is_ready()) {
        return slot_wait_state::not_ready;
    }
    // A suspect report may have arrived since the reservation. Running the request could crash this endpoint too.
    if (this->suspects.is_quarantined(next.digest)) {
        return slot_wait_state::quarantined;
    }
    if (!this->tickets.start(next.id)) {
        return slot_wait_state::cancelled;
    }
    this->running_digests[next.id] = next.digest;
    this->load.on_start(next.id, size);
    return slot_wait_state::granted;
}

bool run_scheduler::may_run(const queue_item& candidate) {
    if (!this->suspects.is_suspect(candidate.digest)) {
        return true;
    }
    // Only one suspect runs at a time: after a crash, two concurrent suspects would both be counted as its cause.
    return std::none_of(this->running_digests.begin(), this->running_digests.end(),
                        [this](const auto& run) { return this->suspects.is_suspect(run.second); });
}

void run_scheduler::drop(const ticket& id, slot_wait_state reason) {
    this->tickets.cancel(id);
    const auto found = this->waiting_runs.find(id);
    if (found != this->waiting_runs.end()) {
        found->second.state = reason;
        found->second.decided.notify_one();
    }
}

// Every waiting thread calls this function once per interval or more often; only the first call in an interval does
// the work.
void run_scheduler::sweep() {
    const steady_time now = this->time.now();
    if (now < this->next_sweep) {
        return;
    }
    this->next_sweep = now + abandoned_check_interval;
    for (const queue_item& expired : this->queue.extract_expired()) {
        this->drop(expired.id, slot_wait_state::late);
    }
    // Slots are also assigned here, not only at the end of a run: meanwhile, a suspect may have become runnable or the
    // endpoint ready.
    this->dispatch();
}

} // namespace pomelohoist
