#include "replay/trace_generator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace pomelohoist {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(trace_kind::count)> kind_names{
    "slow_drift", "holiday_surge", "sudden_flip", "rack_cooling", "steady"};

// Log-normal popularity whose logarithm has this standard deviation gives a p95 skew near 1 on 16 ranks when no expert
// is moved.
constexpr double popularity_deviation = 0.6;
constexpr double batch_deviation = 0.05;
constexpr double drift_time_share = 0.5; ///< correlation time of a drift, as a share of the trace

constexpr std::uint32_t surge_count = 4;
constexpr double surge_share_of_experts = 0.08;
constexpr double surge_log_strength = 1.6;
constexpr double ramp_steps = 20.0;

constexpr std::uint32_t cooling_count = 2;
constexpr std::uint32_t rack_count = 4;

/// @returns 0 outside of the period and 1 on its plateau, with linear ramps between them
double plateau(double begin, double end, double now) {
    return std::clamp(std::min((now - begin) / ramp_steps, (end - now) / ramp_steps), 0.0, 1.0);
}

} // namespace

std::optional<trace_kind> parse_trace_kind(std::string_view name) {
    const auto found = std::find(kind_names.begin(), kind_names.end(), name);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<trace_kind>(found - kind_names.begin());
}

std::string_view name_of(trace_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

trace_generator::trace_generator(const generator_options& trace_options)
    : options(trace_options), engine(trace_options.seed) {
    this->base.resize(this->options.shape.cells());
    for (double& popularity : this->base) {
        popularity = popularity_deviation * this->normal();
    }
    switch (this->options.kind) {
    case trace_kind::holiday_surge:
        this->add_surges();
        break;
    case trace_kind::sudden_flip:
        this->flips = {static_cast<std::uint32_t>(this->uniform(0.25, 0.45) * this->options.steps),
                       static_cast<std::uint32_t>(this->uniform(0.55, 0.8) * this->options.steps)};
        break;
    case trace_kind::rack_cooling:
        this->add_cooling();
        break;
    case trace_kind::slow_drift:
    case trace_kind::steady:
    case trace_kind::count:
        break;
    }
}

double trace_generator::uniform(double low, double high) {
    return std::uniform_real_distribution<double>{low, high}(this->engine);
}

double trace_generator::normal() {
    return std::normal_distribution<double>{}(this->engine);
}

void trace_generator::add_surges() {
    for (std::uint32_t i = 0; i < surge_count; ++i) {
        episode surge;
        surge.begin = this->uniform(0.05, 0.75) * this->options.steps;
        surge.end = surge.begin + this->uniform(0.15, 0.3) * this->options.steps;
        surge.strength = surge_log_strength * this->uniform(0.7, 1.3);
        for (std::size_t cell = 0; cell < this->base.size(); ++cell) {
            if (this->uniform(0.0, 1.0) < surge_share_of_experts) {
                surge.members.push_back(cell);
            }
        }
        this->surges.push_back(surge);
    }
}

void trace_generator::add_cooling() {
    const std::uint32_t ranks_per_rack = std::max(1U, this->options.shape.ranks / rack_count);
    const std::uint32_t racks = std::max(1U, this->options.shape.ranks / ranks_per_rack);
    for (std::uint32_t i = 0; i < cooling_count; ++i) {
        episode cooling;
        cooling.begin = this->uniform(0.1 + 0.45 * i, 0.2 + 0.45 * i) * this->options.steps;
        cooling.end = cooling.begin + this->uniform(0.2, 0.3) * this->options.steps;
        cooling.strength = this->uniform(0.25, 0.45);
        const auto first = static_cast<std::uint32_t>(this->uniform(0.0, racks)) * ranks_per_rack;
        for (std::uint32_t rank = 0; rank < ranks_per_rack; ++rank) {
            cooling.members.push_back(std::min(first + rank, this->options.shape.ranks - 1));
        }
        this->coolings.push_back(cooling);
    }
}

void trace_generator::drift() {
    // An Ornstein-Uhlenbeck process keeps the variance of the popularities constant while their order changes.
    const double gain = 1.0 / std::max(1.0, drift_time_share * this->options.steps);
    for (double& popularity : this->base) {
        popularity += -gain * popularity + popularity_deviation * std::sqrt(2.0 * gain) * this->normal();
    }
}

void trace_generator::flip() {
    const auto experts = static_cast<std::ptrdiff_t>(this->options.shape.experts);
    for (auto begin = this->base.begin(); begin != this->base.end(); begin += experts) {
        std::shuffle(begin, begin + experts, this->engine);
    }
}

std::vector<double> trace_generator::log_popularity() const {
    std::vector<double> popularity = this->base;
    for (const episode& surge : this->surges) {
        const double strength = surge.strength * plateau(surge.begin, surge.end, this->current_step);
        for (const std::size_t cell : surge.members) {
            popularity[cell] += strength;
        }
    }
    return popularity;
}

result<std::optional<trace_step>> trace_generator::next() {
    if (this->current_step >= this->options.steps) {
        return std::optional<trace_step>{};
    }
    if (this->options.kind == trace_kind::slow_drift) {
        this->drift();
    }
    if (std::find(this->flips.begin(), this->flips.end(), this->current_step) != this->flips.end()) {
        this->flip();
    }
    const expert_shape& shape = this->options.shape;
    trace_step step{this->current_step, std::vector<double>(shape.cells()), std::vector<double>(shape.ranks, 1.0)};
    std::vector<double> weights = this->log_popularity();
    std::transform(weights.begin(), weights.end(), weights.begin(), [](double value) { return std::exp(value); });
    const double batch = this->options.tokens_per_layer * std::max(0.1, 1.0 + batch_deviation * this->normal());
    for (std::size_t begin = 0; begin < weights.size(); begin += shape.experts) {
        const auto first = weights.begin() + static_cast<std::ptrdiff_t>(begin);
        const double total = std::accumulate(first, first + shape.experts, 0.0);
        for (std::size_t cell = begin; cell < begin + shape.experts; ++cell) {
            const double mean = batch * weights[cell] / total;
            step.tokens[cell] = static_cast<double>(std::poisson_distribution<std::int64_t>{mean}(this->engine));
        }
    }
    for (const episode& cooling : this->coolings) {
        const double loss = cooling.strength * plateau(cooling.begin, cooling.end, this->current_step);
        for (const std::size_t rank : cooling.members) {
            // Two decimals keep trace files small.
            step.speeds[rank] = std::min(step.speeds[rank], std::round((1.0 - loss) * 100.0) / 100.0);
        }
    }
    ++this->current_step;
    return std::optional<trace_step>{std::move(step)};
}

} // namespace pomelohoist
