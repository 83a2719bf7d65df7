#include "balance/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomelohoist {

namespace {

constexpr double short_gain = 0.3;
// Number of independent steps whose mean has the variance of the short average: (2 - gain) / gain.
constexpr double short_count = (2.0 - short_gain) / short_gain;
constexpr double noise_gain = 0.1;
// Limit of the distance that one step adds to the noise estimate, relative to the estimate. Without the limit, the
// first step after a change of popularity would raise the estimate so far that the change is not detected.
constexpr double max_noise_growth = 3.0;
// With stable popularity the two averages differ by about 0.31 of the distance between one step and the short average
// (gains 0.3 and 0.05); the rest is a margin.
constexpr double change_ratio = 0.5;

double half_distance(std::span<const double> left, std::span<const double> right) {
    double sum = 0.0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        sum += std::abs(left[i] - right[i]);
    }
    return sum / 2.0;
}

void update_average(std::vector<double>& average, std::span<const double> sample, double gain) {
    for (std::size_t i = 0; i < average.size(); ++i) {
        average[i] += gain * (sample[i] - average[i]);
    }
}

} // namespace

load_estimator::load_estimator(const expert_shape& group, double window_steps)
    : shape(group), window(std::max(window_steps, 1.0)), layers(group.layers) {}

void load_estimator::observe(std::span<const double> tokens) {
    this->steps = std::min(this->steps + 1.0, this->window);
    for (std::uint32_t layer = 0; layer < this->shape.layers; ++layer) {
        this->observe_layer(this->layers[layer],
                            tokens.subspan(std::size_t{layer} * this->shape.experts, this->shape.experts));
    }
}

void load_estimator::observe_layer(layer_state& layer, std::span<const double> tokens) {
    const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
    layer.volume += (total - layer.volume) / this->steps;
    if (total <= 0.0) {
        return;
    }
    std::vector<double> share(tokens.begin(), tokens.end());
    for (double& part : share) {
        part /= total;
    }
    if (layer.count == 0.0) {
        layer.long_average = share;
        layer.short_average = share;
        layer.count = 1.0;
        return;
    }
    const double distance = half_distance(share, layer.short_average);
    const double bounded = layer.noise > 0.0 ? std::min(distance, max_noise_growth * layer.noise) : distance;
    layer.noise = layer.noise > 0.0 ? layer.noise + noise_gain * (bounded - layer.noise) : bounded;
    layer.count = std::min(layer.count + 1.0, this->window);
    update_average(layer.short_average, share, std::max(short_gain, 1.0 / layer.count));
    update_average(layer.long_average, share, 1.0 / layer.count);
    if (layer.count > short_count &&
        half_distance(layer.short_average, layer.long_average) > change_ratio * layer.noise) {
        layer.long_average = layer.short_average;
        layer.count = std::min(short_count, this->window);
    }
}

std::vector<double> load_estimator::loads() const {
    std::vector<double> loads(this->shape.cells(), 0.0);
    for (std::size_t layer = 0; layer < this->layers.size(); ++layer) {
        const layer_state& state = this->layers[layer];
        for (std::size_t expert = 0; expert < state.long_average.size(); ++expert) {
            loads[layer * this->shape.experts + expert] = state.long_average[expert] * state.volume;
        }
    }
    return loads;
}

double load_estimator::variance_ratio() const {
    double sum = 0.0;
    for (const layer_state& layer : this->layers) {
        // A moving average with gain 1/n over a long time has the variance of 2n - 1 independent steps.
        const bool is_full = layer.count >= this->window;
        sum += 1.0 / (is_full ? 2.0 * layer.count - 1.0 : std::max(layer.count, 1.0));
    }
    return sum / static_cast<double>(this->layers.size());
}

} // namespace pomelohoist
