#include "agent/load_model.h"

#include <algorithm>
#include <cmath>

namespace pomelohoist {

namespace {

using milliseconds = std::chrono::milliseconds;
using fractional_ms = std::chrono::duration<double, std::milli>;

constexpr std::size_t max_prefixes = 4096;
constexpr double smoothing = 0.1;
// Limits for the correction of the declared rates, so that an outlier neither blocks nor overloads the endpoint.
constexpr double min_slowdown = 0.05;
constexpr double max_slowdown = 20.0;
constexpr double min_nominal_ms = 1.0;

milliseconds round_up(double value_ms) {
    return milliseconds{static_cast<std::int64_t>(std::ceil(value_ms))};
}

} // namespace

load_model::load_model(const clock& time_source, const endpoint_rates& declared_rates)
    : time(time_source), rates(declared_rates) {}

milliseconds load_model::work(const request_size& size) const {
    const std::lock_guard lock{this->mutex};
    return round_up(this->nominal_work(size) * this->slowdown);
}

load_estimate load_model::estimate(const request_size& size, milliseconds queued_work,
                                   std::size_t queued_requests) const {
    const std::lock_guard lock{this->mutex};
    load_estimate expected;
    expected.cached_tokens = this->cached_tokens(size);
    const double slots = std::max<std::uint32_t>(this->rates.slots, 1);
    double wait_ms = 0.0;
    if (static_cast<double>(this->runs.size() + queued_requests) >= slots) {
        // All slots share the running and queued work. No slot is free before the first running request ends.
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
                              this->rates.prefill_tokens_per_ms * this->slowdown;
    expected.wait = round_up(wait_ms);
    expected.first_token = round_up(wait_ms + prefill_ms + this->rates.token_ms * this->slowdown);
    return expected;
}

void load_model::on_start(const ticket& id, const request_size& size) {
    const std::lock_guard lock{this->mutex};
    this->runs[id] = {size, this->time.now(), this->nominal_work(size)};
    this->record_prefix(size);
}

void load_model::on_end(const ticket& id, bool completed) {
    const std::lock_guard lock{this->mutex};
    const auto found = this->runs.find(id);
    if (found == this->runs.end()) {
        return;
    }
    if (completed) {
        const double actual_ms = fractional_ms{this->time.now() - found->second.begin}.count();
        const double ratio = actual_ms / std::max(found->second.nominal_ms, min_nominal_ms);
        this->slowdown = std::clamp((1.0 - smoothing) * this->slowdown + smoothing * ratio, min_slowdown, max_slowdown);
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
    return std::max(run.nominal_ms * this->slowdown - elapsed, 0.0);
}

void load_model::record_prefix(const request_size& size) {
    if (size.prefix_hash == 0) {
        return;
    }
    const auto found = this->prefixes.find(size.prefix_hash);
    if (found != this->prefixes.end()) {
        // The common prefix of two prompts is at most as long as the shorter prompt.
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
