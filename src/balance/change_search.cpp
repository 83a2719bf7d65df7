#include "balance/change_search.h"

#include <algorithm>
#include <numeric>

namespace pomelohoist {

namespace {

// The search tries pairs of one of the slowest and one of the fastest ranks, in order of decreasing difference. The
// search ends when a change was found and a minimum number of pairs was searched. The limit of evaluations bounds the
// planning time of large groups.
constexpr std::uint32_t max_extreme_ranks = 8;
constexpr std::uint32_t min_pairs = 10;
constexpr std::uint64_t max_evaluations = 12000;
// Dropping a replica needs no copy, but restoring it later costs a copy.
constexpr double drop_cost_copies = 0.5;

} // namespace

change_search::change_search(const expert_shape& group, const placement& start_placement,
                             const change_limits& search_limits, std::uint64_t start)
    : shape(group), current(start_placement), limits(search_limits),
      first_layer(static_cast<std::uint32_t>(start % group.layers)) {}

std::optional<placement_change> change_search::find() {
    std::vector<std::uint32_t> order(this->shape.ranks);
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [this](std::uint32_t left, std::uint32_t right) {
        return this->current.time_of(left) > this->current.time_of(right);
    });
    const std::uint32_t extremes = std::min(max_extreme_ranks, this->shape.ranks);
    for (std::uint32_t i = 0; i < std::min(extremes, min_pairs); ++i) {
        this->search_drops(order[i]);
    }
    std::uint32_t pairs = 0;
    for (std::uint32_t distance = 0; distance + 1 < 2 * extremes; ++distance) {
        for (std::uint32_t i = 0; i <= distance; ++i) {
            const std::uint32_t j = distance - i;
            if (i >= extremes || j >= extremes || i + j + 1 >= this->shape.ranks) {
                continue;
            }
            this->search_pair(order[i], order[this->shape.ranks - 1 - j]);
            ++pairs;
            if (this->evaluations >= max_evaluations || (this->best && pairs >= min_pairs)) {
                return this->best;
            }
        }
    }
    return this->best;
}

void change_search::search_pair(std::uint32_t slow, std::uint32_t fast) {
    if (this->current.time_of(slow) <= this->current.time_of(fast)) {
        return;
    }
    for (std::uint32_t i = 0; i < this->shape.layers && this->evaluations < max_evaluations; ++i) {
        this->search_layer((this->first_layer + i) % this->shape.layers, slow, fast);
    }
}

void change_search::search_layer(std::uint32_t layer, std::uint32_t slow, std::uint32_t fast) {
    for (std::uint32_t i = 0; i < this->shape.slots_per_rank; ++i) {
        const expert_move from{layer, slow, i, this->current.expert_at(layer, slow, i)};
        if (from.expert == no_expert || this->current.holds(layer, fast, from.expert)) {
            continue;
        }
        for (std::uint32_t j = 0; j < this->shape.slots_per_rank; ++j) {
            this->search_slots(from, {layer, fast, j, this->current.expert_at(layer, fast, j)});
        }
    }
}

void change_search::search_slots(const expert_move& from, const expert_move& to) {
    const std::uint32_t layer = from.layer;
    const bool is_free = to.expert == no_expert || this->current.replicas(layer, to.expert) > 1;
    if (is_free) {
        const expert_move target{layer, to.rank, to.slot, from.expert};
        this->evaluate(this->current.copy(target, nullptr));
        this->evaluate(this->current.copy(target, &from));
    }
    const bool can_swap = to.expert != no_expert && !this->current.holds(layer, from.rank, to.expert) &&
                          this->limits.max_copies >= 2 &&
                          this->current.share(layer, from.expert) > this->current.share(layer, to.expert);
    if (can_swap) {
        this->evaluate(this->current.swap(layer, from, to));
    }
}

void change_search::search_drops(std::uint32_t slow) {
    for (std::uint32_t layer = 0; layer < this->shape.layers; ++layer) {
        for (std::uint32_t slot = 0; slot < this->shape.slots_per_rank; ++slot) {
            const std::uint32_t expert = this->current.expert_at(layer, slow, slot);
            if (expert != no_expert && this->current.replicas(layer, expert) > 1) {
                this->evaluate(this->current.drop({layer, slow, slot, expert}));
            }
        }
    }
}

void change_search::evaluate(const placement_change& change) {
    ++this->evaluations;
    const double value = this->value_of(change);
    if (value > this->best_value) {
        this->best = change;
        this->best_value = value;
    }
}

double change_search::value_of(const placement_change& change) const {
    const double cost = std::max(static_cast<double>(change.copies), drop_cost_copies);
    const double saving = change.saving - this->limits.noise * change.shifted;
    return saving / cost - this->limits.saving_per_copy;
}

} // namespace pomelohoist
