#include "batch.h"

#include "token_rule.h"

#include <thread>

namespace standin {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds closed_check_interval{20};
constexpr std::size_t block_bytes = 64;
constexpr std::size_t tokens_per_block = 16;
constexpr std::size_t max_history = 4096;
constexpr std::size_t max_events = 8192;

} // namespace

bool batch::acquire(int priority, const std::function<bool()>& is_disconnected) {
    std::unique_lock lock{this->mutex};
    const waiting self{priority, this->arrivals++};
    this->queue.insert(self);
    this->sample();
    while (this->running >= this->options.slots || *this->queue.begin() != self) {
        this->slot_freed.wait_for(lock, closed_check_interval);
        if (is_disconnected()) {
            this->queue.erase(self);
            this->sample();
            this->slot_freed.notify_all();
            return false;
        }
    }
    this->queue.erase(self);
    ++this->running;
    this->sample();
    this->slot_freed.notify_all();
    return true;
}

void batch::release() {
    const std::lock_guard lock{this->mutex};
    --this->running;
    this->sample();
    this->slot_freed.notify_all();
}

std::uint64_t batch::use_cache(const std::string& prompt) {
    const std::lock_guard lock{this->mutex};
    std::uint64_t hits = 0;
    bool is_prefix_cached = true;
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
        const std::uint64_t block = XXH3_64bits(prompt.data(), end);
        const auto found = this->cached.find(block);
        if (found != this->cached.end()) {
            this->cache_order.splice(this->cache_order.begin(), this->cache_order, found->second);
            hits += is_prefix_cached ? 1 : 0;
            continue;
        }
        is_prefix_cached = false;
        this->cache_order.push_front(block);
        this->cached[block] = this->cache_order.begin();
        this->add_event(block, true);
        if (this->cached.size() > this->options.cache_blocks) {
            this->add_event(this->cache_order.back(), false);
            this->cached.erase(this->cache_order.back());
            this->cache_order.pop_back();
        }
    }
    return hits * tokens_per_block;
}

void batch::set_faults(const engine_faults& new_faults) {
    const std::lock_guard lock{this->mutex};
    this->faults = new_faults;
}

void batch::sleep_prefill(std::uint64_t tokens) const {
    this->sleep_step(static_cast<double>(tokens) / this->options.prefill_tokens_per_ms);
}

void batch::sleep_token() const {
    this->sleep_step(this->options.token_ms);
}

void batch::sleep_step(double milliseconds) const {
    engine_faults active;
    {
        const std::lock_guard lock{this->mutex};
        active = this->faults;
    }
    const double total = milliseconds * active.slow_factor + active.stall_ms;
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(total));
}

load_figures batch::lagged_load() const {
    const std::lock_guard lock{this->mutex};
    const auto until = steady_clock::now() - std::chrono::milliseconds{this->options.load_lag_ms};
    load_figures seen;
    for (const load_figures& figures : this->history) {
        if (figures.recorded_at > until) {
            break;
        }
        seen = figures;
    }
    return seen;
}

std::vector<cache_event> batch::events(std::uint64_t since) const {
    const std::lock_guard lock{this->mutex};
    const auto until = steady_clock::now() - std::chrono::milliseconds{this->options.cache_event_lag_ms};
    const std::uint64_t gap = this->options.cache_event_gap;
    std::vector<cache_event> seen;
    for (const cache_event& event : this->event_log) {
        const bool lost = gap > 0 && event.number % gap == 0;
        if (event.number > since && event.recorded_at <= until && !lost) {
            seen.push_back(event);
        }
    }
    return seen;
}

void batch::sample() {
    this->history.push_back({steady_clock::now(), this->running, static_cast<std::uint32_t>(this->queue.size())});
    if (this->history.size() > max_history) {
        this->history.pop_front();
    }
}

void batch::add_event(std::uint64_t block, bool stored) {
    this->event_log.push_back({++this->event_number, steady_clock::now(), block, stored});
    if (this->event_log.size() > max_events) {
        this->event_log.pop_front();
    }
}

} // namespace standin
