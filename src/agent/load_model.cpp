#include "agent/load_model.h"

#include <algorithm>
#include <cmath>

namespace pomelohoist {

namespace {

using milliseconds = std::chrono::milliseconds;
using fractional_ms = std::chrono::duration<double, std::milli>;

constexpr std::size_t max_prefixes = 4096;
constexpr double smoothing = 0.1;
// One outlier must neither stop nor flood the endpoint, so the correction of the declared rates is limited.
constexpr double min_slowness = 0.05;
constexpr double max_slowness = 20.0;
constexpr double min_nominal_ms = 1.0;

milliseconds round_up(double value_ms) {
    return milliseconds{static_cast<std::int64_t>(std::ceil(value_ms))};
}

} // namespace

load_model::load_model(const clock& time_source, const endpoint_rates& declared_rates)
    : time(time_source), rates(declared_rates) {}

milliseconds load_model::work(const request_size& size) const {
    const std::lock_guard lock{this->mutex};
    return round_up(this->nominal_work(size) * this->slowness);
}

load_estimate load_model::estimate(const request_size& size, milliseconds queued_work,
                                   std::size_t queued_requests) const {
    const std::lock_guard lock{this->mutex};
    load_estimate expected;
    expected.cached_tokens = this->cached_tokens(size);
    const double slots = std::max<std::uint32_t>(this->rates.slots, 1);
    double wait_ms = 0.0;
    if (static_cast<double>(this->runs.size() + queued_requests) >= slots) {
        // All slots together work off what runs and what waits; the next slot is free no earlier than the first end.
        double total_ms = static_cast<double>(queued_work.count());
        double first_end_ms = 0.0;
        bool is_first = true;
        for (const auto& [id, run] : this->runs) {
            const double remaining = this->remaining_ms(run);
            total_ms += remaining;
            first_end_ms = is_first ? remaining : std::min(first_end_ms, remaining);
            is_first = false;
        }
        wait_ms = std::max(total_ms / slots, first_end_ms);
    }
    const double prefill_ms = static_cast<double>(size.prompt_tokens - expected.cached_tokens) /
                              this->rates.prefill_tokens_per_ms * this->slowness;
    expected.wait = round_up(wait_ms);
    expected.first_token = round_up(wait_ms + prefill_ms + this->rates.token_ms * this->slowness);
    return expected;
}

void load_model::on_start(const ticket& id, const request_size& size) {
    const std::lock_guard lock{this->mutex};
    this->runs[id] = {size, this->time.now(), this->nominal_work(size)};
    this->remember_prefix(size);
}

void load_model::on_end(const ticket& id, bool completed) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->runs.find(id);
    if (found == this->runs.end()) {
        return;
    }
    if (completed) {
        const double measured = fractional_ms{this->time.now() - found->second.begin}.count();
        const double ratio = measured / std::max(found->second.nominal_ms, min_nominal_ms);
        this->slowness = std::clamp((1.0 - smoothing) * this->slowness + smoothing * ratio, min_slowness, max_slowness);
    }
    this->runs.erase(found);
}

std::uint32_t load_model::running() const {
    const std::lock_guard lock{this->mutex};
    return static_cast<std::uint32_t>(this->runs.size());
}

std::uint32_t load_model::cached_tokens(const request_size& size) const {
    const auto found = this->prefixes.find(size.prefix_hash);
    return found == this->prefixes.end() ? 0 : std::min(found->second.tokens, size.prompt_tokens);
}

double load_model::nominal_work(const request_size& size) const {
    const std::uint32_t uncached = size.prompt_tokens - this->cached_tokens(size);
    return uncached / this->rates.prefill_tokens_per_ms + size.output_tokens * this->rates.token_ms;
}

double load_model::remaining_ms(const active_run& run) const {
    const double elapsed = fractional_ms{this->time.now() - run.begin}.count();
    return std::max(run.nominal_ms * this->slowness - elapsed, 0.0);
}

void load_model::remember_prefix(const request_size& size) {
    if (size.prefix_hash == 0) {
        return;
    }
    const auto found = this->prefixes.find(size.prefix_hash);
    if (found != this->prefixes.end()) {
        // Two prompts share a prefix only as far as the shorter one goes.
        found->second.tokens = std::min(found->second.tokens, size.prompt_tokens);
        this->prefix_order.splice(this->prefix_order.begin(), this->prefix_order, found->second.position);
        return;
    }
    this->prefix_order.push_front(size.prefix_hash);
    this->prefixes[size.prefix_hash] = {size.prompt_tokens, this->prefix_order.begin()};
    if (this->prefixes.size() > max_prefixes) {
        this->prefixes.erase(this->prefix_order.back());
        this->prefix_order.pop_back();
    }
}

} // namespace pomelohoist
