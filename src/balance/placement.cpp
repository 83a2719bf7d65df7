#include "balance/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace pomelohoist {

placement::placement(const expert_map& map, std::vector<double> loads, std::vector<double> rank_speeds)
    : shape(map.shape()), expert_load(std::move(loads)), speeds(std::move(rank_speeds)),
      slots(map.slots().begin(), map.slots().end()), expert_ranks(shape.cells()), rank_load(shape.ranks, 0.0),
      delta(shape.ranks, 0.0) {
    const double total = std::accumulate(this->expert_load.begin(), this->expert_load.end(), 0.0);
    const double scale = total > 0.0 ? this->shape.ranks / total : 0.0;
    for (double& load : this->expert_load) {
        load *= scale;
    }
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
        if (this->slots[i] != no_expert) {
            const std::size_t layer = i / this->shape.slots_per_layer();
            const std::size_t rank = i % this->shape.slots_per_layer() / this->shape.slots_per_rank;
            this->expert_ranks[layer * this->shape.experts + this->slots[i]].push_back(
                static_cast<std::uint32_t>(rank));
        }
    }
    for (std::uint32_t layer = 0; layer < this->shape.layers; ++layer) {
        for (std::uint32_t expert = 0; expert < this->shape.experts; ++expert) {
            this->add_loads(layer, expert, 1.0);
        }
    }
}

double placement::imbalance() const {
    double sum = 0.0;
    for (std::uint32_t rank = 0; rank < this->shape.ranks; ++rank) {
        sum += this->rank_load[rank] * this->time_of(rank);
    }
    return sum - this->shape.ranks;
}

bool placement::holds(std::uint32_t layer, std::uint32_t rank, std::uint32_t expert) const {
    const auto& ranks = this->ranks_of(layer, expert);
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

double placement::share(std::uint32_t layer, std::uint32_t expert) const {
    return this->expert_load[std::size_t{layer} * this->shape.experts + expert] /
           static_cast<double>(this->replicas(layer, expert));
}

void placement::shift(std::uint32_t rank, double load) const {
    this->touched.push_back(rank);
    this->delta[rank] += load;
}

void placement::shift_replica_count(std::uint32_t layer, std::uint32_t expert, std::size_t next_count) const {
    const double load = this->expert_load[std::size_t{layer} * this->shape.experts + expert];
    const double change = load / static_cast<double>(next_count) - this->share(layer, expert);
    for (const std::uint32_t rank : this->ranks_of(layer, expert)) {
        this->shift(rank, change);
    }
}

void placement::finish_change(placement_change& change) const {
    for (const std::uint32_t rank : this->touched) {
        const double shift = std::exchange(this->delta[rank], 0.0);
        change.saving -= shift * (2.0 * this->rank_load[rank] + shift) / this->speeds[rank];
        change.shifted += std::abs(shift);
    }
    this->touched.clear();
}

placement_change placement::swap(std::uint32_t layer, const expert_move& left, const expert_move& right) const {
    const double shift = this->share(layer, left.expert) - this->share(layer, right.expert);
    placement_change change{{left, right}, 2, 2, 0.0, 0.0};
    std::swap(change.moves[0].expert, change.moves[1].expert);
    this->shift(left.rank, -shift);
    this->shift(right.rank, shift);
    this->finish_change(change);
    return change;
}

placement_change placement::copy(const expert_move& target, const expert_move* emptied) const {
    placement_change change{{target, expert_move{}}, 1, 1, 0.0, 0.0};
    const double load = this->expert_load[std::size_t{target.layer} * this->shape.experts + target.expert];
    const std::size_t count = this->replicas(target.layer, target.expert);
    if (emptied != nullptr) {
        change.moves[1] = *emptied;
        change.moves[1].expert = no_expert;
        change.move_count = 2;
        this->shift(emptied->rank, -load / static_cast<double>(count));
        this->shift(target.rank, load / static_cast<double>(count));
    } else {
        this->shift_replica_count(target.layer, target.expert, count + 1);
        this->shift(target.rank, load / static_cast<double>(count + 1));
    }
    const std::uint32_t replaced = this->expert_at(target.layer, target.rank, target.slot);
    if (replaced != no_expert) {
        const std::size_t replaced_count = this->replicas(target.layer, replaced);
        this->shift_replica_count(target.layer, replaced, replaced_count - 1);
        this->shift(target.rank, -this->expert_load[std::size_t{target.layer} * this->shape.experts + replaced] /
                                     static_cast<double>(replaced_count - 1));
    }
    this->finish_change(change);
    return change;
}

placement_change placement::drop(const expert_move& emptied) const {
    placement_change change{{emptied, expert_move{}}, 1, 0, 0.0, 0.0};
    change.moves[0].expert = no_expert;
    const std::size_t count = this->replicas(emptied.layer, emptied.expert);
    this->shift_replica_count(emptied.layer, emptied.expert, count - 1);
    this->shift(emptied.rank, -this->expert_load[std::size_t{emptied.layer} * this->shape.experts + emptied.expert] /
                                  static_cast<double>(count - 1));
    this->finish_change(change);
    return change;
}

void placement::apply(const placement_change& change) {
    for (std::uint32_t i = 0; i < change.move_count; ++i) {
        expert_move emptied = change.moves[i];
        emptied.expert = no_expert;
        this->set_slot(emptied);
    }
    for (std::uint32_t i = 0; i < change.move_count; ++i) {
        this->set_slot(change.moves[i]);
    }
}

void placement::set_slot(const expert_move& move) {
    std::uint32_t& content = this->slots[move.layer * this->shape.slots_per_layer() +
                                         std::size_t{move.rank} * this->shape.slots_per_rank + move.slot];
    if (content != no_expert) {
        this->add_loads(move.layer, content, -1.0);
        auto& ranks = this->expert_ranks[std::size_t{move.layer} * this->shape.experts + content];
        ranks.erase(std::find(ranks.begin(), ranks.end(), move.rank));
        this->add_loads(move.layer, content, 1.0);
    }
    if (move.expert != no_expert) {
        this->add_loads(move.layer, move.expert, -1.0);
        this->expert_ranks[std::size_t{move.layer} * this->shape.experts + move.expert].push_back(move.rank);
        this->add_loads(move.layer, move.expert, 1.0);
    }
    content = move.expert;
}

void placement::add_loads(std::uint32_t layer, std::uint32_t expert, double sign) {
    const auto& ranks = this->ranks_of(layer, expert);
    if (ranks.empty()) {
        return; // `apply` empties all slots of a change before it fills them, so an expert may be on no rank meanwhile
    }
    const double part = sign * this->share(layer, expert);
    for (const std::uint32_t rank : ranks) {
        this->rank_load[rank] += part;
    }
}

} // namespace pomelohoist
