#include "placement/stream_capacity.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace pomelohoist {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();

// A single stream may be delayed on its way. A pass delays all streams of a group, so that several show it.
constexpr std::size_t agreeing_streams = 3;

double milliseconds(std::chrono::milliseconds span) {
    return static_cast<double>(span.count());
}

} // namespace

double streams_within(const engine_speed& engine, const observed_pass& pass, std::chrono::milliseconds longest_pause) {
    const double fixed_ms = engine.step_ms * engine.steps_per_pass;
    const double variable_ms = milliseconds(pass.duration) - fixed_ms;
    return variable_ms > 0.0 ? pass.load * std::max(milliseconds(longest_pause) - fixed_ms, 0.0) / variable_ms
                             : unlimited;
}

void stream_capacity::record_load(const std::string& service, double streams) {
    const std::lock_guard lock{this->mutex};
    this->services[service].load = streams;
}

void stream_capacity::record_pause(const std::string& service, const engine_speed& engine,
                                   std::chrono::milliseconds pause, std::chrono::milliseconds longest_pause) {
    // Shorter passes do not limit anything, and longer pauses are stalls of a group, which fewer streams do not
    // shorten.
    if (pause < longest_pause * config::limiting_pause_percent / 100 || pause > longest_pause * config::stall_pauses) {
        return;
    }
    const std::lock_guard lock{this->mutex};
    measured_service& measured = this->services[service];
    const steady_time now = this->time.now();
    if (measured.periods.empty() || now - measured.periods.back().begin >= config::capacity_period) {
        measured.periods.push_back({now, {}});
    }
    while (now - measured.periods.front().begin > config::capacity_memory) {
        measured.periods.pop_front();
    }
    std::vector<double>& smallest = measured.periods.back().smallest;
    const double carried = streams_within(engine, {pause, measured.load}, longest_pause);
    smallest.insert(std::upper_bound(smallest.begin(), smallest.end(), carried), carried);
    if (smallest.size() > agreeing_streams) {
        smallest.pop_back();
    }
}

double stream_capacity::limit_of(const std::string& service) const {
    const std::lock_guard lock{this->mutex};
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return unlimited;
    }
    double least = unlimited;
    for (const period& each : found->second.periods) {
        const bool is_current = this->time.now() - each.begin <= config::capacity_memory;
        if (is_current && each.smallest.size() == agreeing_streams) {
            least = std::min(least, each.smallest.back());
        }
    }
    return least;
}

double room_for(double limit, double slots, std::uint32_t more_important) {
    if (more_important == 0) {
        return unlimited;
    }
    const double levels = std::min(more_important, config::max_importance_levels);
    return std::max(limit * (1.0 - config::share_per_level * levels), slots * config::least_slot_share);
}

std::uint32_t importance_levels::record(const std::string& service, std::uint32_t importance) {
    const std::lock_guard lock{this->mutex};
    const steady_time now = this->time.now();
    recent_requests& recent = this->services.try_emplace(service, recent_requests{now, {}, {}}).first->second;
    if (const auto age = now - recent.begin; age >= config::importance_memory) {
        recent.previous = age < 2 * config::importance_memory ? std::move(recent.current) : request_counts{};
        recent.current.clear();
        recent.begin = now;
    }
    ++recent.current[importance];
    request_counts counts = recent.previous;
    std::uint64_t total = 0;
    for (const auto& [level, count] : recent.current) {
        counts[level] += count;
    }
    for (const auto& [level, count] : counts) {
        total += count;
    }
    const double least = config::least_level_share * static_cast<double>(total);
    return static_cast<std::uint32_t>(std::count_if(counts.begin(), counts.lower_bound(importance),
                                                    [least](const auto& level) { return level.second >= least; }));
}

} // namespace pomelohoist
