#include "balance/load_shift_detector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>

namespace pomelohoist {

namespace {

// Cosine between a round and the estimate below which the load has changed. Rounds of one load have 0.97 and more.
constexpr double change_cosine = 0.94;
// Mean selections per expert that a round needs to show a change; with fewer, the cosine is mostly noise.
constexpr double min_round_sample = 30.0;
// Share of a round that must show the new load for an estimate from this round alone.
constexpr double min_new_share = 0.4;
// A load that changes only in part looks like a round that barely shows the new load. After this number of rounds, the
// round is taken as it is.
constexpr std::uint32_t max_unsettled_rounds = 2;
// Two changes closer together than this are one change that was seen in two rounds.
constexpr seconds_span same_change{0.8};
constexpr double life_gain = 0.4;
constexpr std::size_t reference_experts = 12;

double sum_of(std::span<const double> values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
}

double cosine(std::span<const double> left, std::span<const double> right) {
    const double norms = std::inner_product(left.begin(), left.end(), left.begin(), 0.0) *
                         std::inner_product(right.begin(), right.end(), right.begin(), 0.0);
    return norms > 0.0 ? std::inner_product(left.begin(), left.end(), right.begin(), 0.0) / std::sqrt(norms) : 1.0;
}

/// @returns upper bound of the share of the round that still has the earlier load: the smallest factor by which one of
/// the experts that were busiest before has fallen
double earlier_share(std::span<const double> earlier, std::span<const double> round) {
    std::vector<std::size_t> order(earlier.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t references = std::min(reference_experts, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(references), order.end(),
                      [&earlier](std::size_t left, std::size_t right) { return earlier[left] > earlier[right]; });
    const double scale = sum_of(earlier) / sum_of(round);
    double share = 1.0;
    for (std::size_t i = 0; i < references; ++i) {
        share = std::min(share, round[order[i]] * scale / earlier[order[i]]);
    }
    return share;
}

} // namespace

load_shift_detector::load_shift_detector(const expert_shape& group_shape, seconds_span averaging_time,
                                         seconds_span first_life)
    : shape(group_shape), window(averaging_time), mean_life(first_life), pending(group_shape.cells(), 0.0),
      estimate(group_shape.cells(), 0.0) {}

void load_shift_detector::add(std::span<const double> selections, seconds_span elapsed) {
    this->current_age += elapsed;
    std::transform(this->pending.begin(), this->pending.end(), selections.begin(), this->pending.begin(),
                   std::plus<>{});
    this->pending_time += elapsed;
    const bool is_first = sum_of(this->estimate) == 0.0;
    if (!is_first && sum_of(this->pending) < min_round_sample * static_cast<double>(this->pending.size())) {
        return;
    }
    const double decay = std::exp(-this->pending_time / this->window);
    bool has_changed = false;
    bool is_unsettled = false;
    for (std::uint32_t layer = 0; layer < this->shape.layers; ++layer) {
        const std::size_t first = std::size_t{layer} * this->shape.experts;
        const layer_outcome outcome =
            this->add_layer(std::span{this->estimate}.subspan(first, this->shape.experts),
                            std::span{this->pending}.subspan(first, this->shape.experts), decay);
        has_changed = has_changed || outcome == layer_outcome::changed;
        is_unsettled = is_unsettled || outcome == layer_outcome::unsettled;
    }
    this->unsettled_rounds = is_unsettled ? this->unsettled_rounds + 1 : 0;
    std::fill(this->pending.begin(), this->pending.end(), 0.0);
    this->pending_time = seconds_span::zero();
    if (has_changed) {
        this->record_change();
    }
}

load_shift_detector::layer_outcome load_shift_detector::add_layer(std::span<double> layer,
                                                                  std::span<const double> round, double decay) const {
    const double sample = sum_of(round);
    if (cosine(layer, round) >= change_cosine) {
        std::transform(layer.begin(), layer.end(), round.begin(), layer.begin(),
                       [decay](double earlier, double latest) { return earlier * decay + latest; });
        return layer_outcome::unchanged;
    }
    // The load changed within the round or before it: the part of the earlier load is subtracted.
    const double share = earlier_share(layer, round);
    if (1.0 - share < min_new_share) {
        if (this->unsettled_rounds < max_unsettled_rounds) {
            return layer_outcome::unsettled;
        }
        std::copy(round.begin(), round.end(), layer.begin());
        return layer_outcome::changed;
    }
    const double earlier_selections = share * sample / sum_of(layer);
    std::transform(layer.begin(), layer.end(), round.begin(), layer.begin(),
                   [earlier_selections](double earlier, double latest) {
                       return std::max(latest - earlier * earlier_selections, 0.0);
                   });
    return layer_outcome::changed;
}

void load_shift_detector::record_change() {
    if (this->current_age >= same_change) {
        this->mean_life += life_gain * (this->current_age - this->mean_life);
        this->current_age = seconds_span{0.0};
    }
}

seconds_span load_shift_detector::remaining_life() const {
    // A load that has outlived the mean says that the mean is too short.
    return this->current_age < this->mean_life ? this->mean_life - this->current_age : this->mean_life;
}

} // namespace pomelohoist
