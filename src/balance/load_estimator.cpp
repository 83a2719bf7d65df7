#include "balance/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomelohoist {

namespace {

constexpr double fast_gain = 0.3;
// Independent steps whose mean has the variance of the short average: (2 - gain) / gain.
constexpr double fast_count = (2.0 - fast_gain) / fast_gain;
constexpr double noise_gain = 0.1;
// One step after a change of popularity must not count as noise, or the change would hide itself.
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

void approach(std::vector<double>& average, std::span<const double> sample, double gain) {
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
        layer.slow = share;
        layer.fast = share;
        layer.count = 1.0;
        return;
    }
    const double distance = half_distance(share, layer.fast);
    const double bounded = layer.noise > 0.0 ? std::min(distance, max_noise_growth * layer.noise) : distance;
    layer.noise = layer.noise > 0.0 ? layer.noise + noise_gain * (bounded - layer.noise) : bounded;
    layer.count = std::min(layer.count + 1.0, this->window);
    approach(layer.fast, share, std::max(fast_gain, 1.0 / layer.count));
    approach(layer.slow, share, 1.0 / layer.count);
    if (layer.count > fast_count && half_distance(layer.fast, layer.slow) > change_ratio * layer.noise) {
        layer.slow = layer.fast;
        layer.count = std::min(fast_count, this->window);
    }
}

std::vector<double> load_estimator::loads() const {
    std::vector<double> loads(this->shape.cells(), 0.0);
    for (std::size_t layer = 0; layer < this->layers.size(); ++layer) {
        const layer_state& state = this->layers[layer];
        for (std::size_t expert = 0; expert < state.slow.size(); ++expert) {
            loads[layer * this->shape.experts + expert] = state.slow[expert] * state.volume;
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
