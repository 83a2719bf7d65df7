#include "balance/layer_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace pomelohoist {

namespace {

// A norm of high power approximates the maximum, but also decreases when only one of two equal largest loads decreases.
constexpr double norm_power = 8.0;
constexpr std::uint32_t max_changes_for_each_layer = 48;

double eighth_power(double value) {
    const double square = value * value;
    const double fourth = square * square;
    return fourth * fourth;
}

/// A change of a layer: an expert of rank `from` replaces the content of a slot of rank `to`.
struct layer_change {
    std::uint32_t from{0};
    std::uint32_t from_slot{0};
    std::uint32_t to{0};
    std::uint32_t to_slot{0};
    bool is_swap{false}; ///< rank `from` gets the replaced expert; otherwise both ranks hold the copied expert
    double value{0.0};   ///< gain less the cost of the copies
};

class layer_search {
  public:
    /// @param rank_copies copies that each rank makes for all layers of the plan; updated by the search
    layer_search(const expert_shape& group, std::span<std::uint32_t> layer_slots, std::span<const double> expert_loads,
                 const layer_plan_limits& plan_limits, std::span<std::uint32_t> rank_copies)
        : shape(group), slots(layer_slots), limits(plan_limits), copies(rank_copies),
          original(layer_slots.begin(), layer_slots.end()), loads(expert_loads.begin(), expert_loads.end()),
          expert_ranks(group.experts), rank_load(group.ranks, 0.0), delta(group.ranks, 0.0) {
        const double total = std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
        for (double& load : this->loads) {
            load = total > 0.0 ? load * group.ranks / total : 0.0;
        }
        for (std::uint32_t rank = 0; rank < group.ranks; ++rank) {
            for (std::uint32_t slot = 0; slot < group.slots_per_rank; ++slot) {
                if (this->at(rank, slot) != no_expert) {
                    this->expert_ranks[this->at(rank, slot)].push_back(rank);
                }
            }
        }
        for (std::uint32_t expert = 0; expert < group.experts; ++expert) {
            for (const std::uint32_t rank : this->expert_ranks[expert]) {
                this->rank_load[rank] += this->share(expert);
            }
        }
    }

    /// Applies the best change.
    /// @returns false when the layer needs no change, or no change gains more than its cost
    bool improve() {
        if (this->changes == max_changes_for_each_layer || this->peak() <= this->limits.acceptable_peak) {
            return false;
        }
        const std::optional<layer_change> change = this->find();
        if (!change) {
            return false;
        }
        this->apply(*change);
        ++this->changes;
        return true;
    }

    [[nodiscard]] double peak() const { return *std::max_element(this->rank_load.begin(), this->rank_load.end()); }

  private:
    [[nodiscard]] std::uint32_t& at(std::uint32_t rank, std::uint32_t slot) {
        return this->slots[std::size_t{rank} * this->shape.slots_per_rank + slot];
    }

    [[nodiscard]] bool holds(std::uint32_t rank, std::uint32_t expert) const {
        const std::vector<std::uint32_t>& ranks = this->expert_ranks[expert];
        return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
    }

    [[nodiscard]] bool was_held(std::uint32_t rank, std::uint32_t expert) const {
        const auto begin = this->original.begin() + static_cast<std::ptrdiff_t>(rank) * this->shape.slots_per_rank;
        return std::find(begin, begin + this->shape.slots_per_rank, expert) != begin + this->shape.slots_per_rank;
    }

    [[nodiscard]] bool is_new(std::uint32_t rank, std::uint32_t expert) const {
        return expert != no_expert && !this->was_held(rank, expert);
    }

    /// @returns number of experts of this layer that the plan adds to the rank
    [[nodiscard]] std::uint32_t added_to(std::uint32_t rank) {
        std::uint32_t added = 0;
        for (std::uint32_t i = 0; i < this->shape.slots_per_rank; ++i) {
            added += this->is_new(rank, this->at(rank, i)) ? 1U : 0U;
        }
        return added;
    }

    /// @returns true when adding the expert keeps the copies that the rank makes within the limits
    [[nodiscard]] bool can_add(std::uint32_t rank, std::uint32_t slot, std::uint32_t expert) {
        if (this->was_held(rank, expert) || this->is_new(rank, this->at(rank, slot))) {
            return true;
        }
        return this->copies[rank] < this->limits.max_copies_per_rank && this->added_to(rank) < this->limits.max_new;
    }

    /// @returns load of one replica
    [[nodiscard]] double share(std::uint32_t expert) const {
        return this->loads[expert] / static_cast<double>(std::max<std::size_t>(this->expert_ranks[expert].size(), 1));
    }

    void shift(std::uint32_t rank, double load) {
        if (this->delta[rank] == 0.0) {
            this->touched.push_back(rank);
        }
        this->delta[rank] += load;
    }

    /// Records in `delta` how the loads of the ranks would change.
    void record_shifts(const layer_change& change) {
        const std::uint32_t moved = this->at(change.from, change.from_slot);
        const std::uint32_t replaced = this->at(change.to, change.to_slot);
        if (change.is_swap) {
            const double difference = this->share(moved) - this->share(replaced);
            this->shift(change.from, -difference);
            this->shift(change.to, difference);
            return;
        }
        const auto replicas = static_cast<double>(this->expert_ranks[moved].size());
        const double next_share = this->loads[moved] / (replicas + 1.0);
        for (const std::uint32_t rank : this->expert_ranks[moved]) {
            this->shift(rank, next_share - this->share(moved));
        }
        this->shift(change.to, next_share);
        if (replaced == no_expert) {
            return;
        }
        const auto remaining = static_cast<double>(this->expert_ranks[replaced].size()) - 1.0;
        for (const std::uint32_t rank : this->expert_ranks[replaced]) {
            this->shift(rank, (rank == change.to ? 0.0 : this->loads[replaced] / remaining) - this->share(replaced));
        }
    }

    /// Evaluates the recorded shifts and clears them.
    /// @param power_sum sum of the eighth powers of the current loads
    /// @returns amount by which the shifts would decrease the norm of the loads
    double extract_gain(double power_sum) {
        double next_sum = power_sum;
        for (const std::uint32_t rank : this->touched) {
            next_sum += eighth_power(this->rank_load[rank] + this->delta[rank]) - eighth_power(this->rank_load[rank]);
            this->delta[rank] = 0.0;
        }
        this->touched.clear();
        return std::pow(power_sum, 1.0 / norm_power) - std::pow(std::max(next_sum, 0.0), 1.0 / norm_power);
    }

    void replace(std::uint32_t rank, std::uint32_t slot, std::uint32_t expert) {
        std::uint32_t& content = this->at(rank, slot);
        this->copies[rank] -= this->is_new(rank, content) ? 1U : 0U;
        this->copies[rank] += this->is_new(rank, expert) ? 1U : 0U;
        if (content != no_expert) {
            std::vector<std::uint32_t>& ranks = this->expert_ranks[content];
            ranks.erase(std::find(ranks.begin(), ranks.end(), rank));
        }
        content = expert;
        this->expert_ranks[expert].push_back(rank);
    }

    void apply(const layer_change& change) {
        this->record_shifts(change);
        for (const std::uint32_t rank : this->touched) {
            this->rank_load[rank] += this->delta[rank];
            this->delta[rank] = 0.0;
        }
        this->touched.clear();
        const std::uint32_t moved = this->at(change.from, change.from_slot);
        const std::uint32_t replaced = this->at(change.to, change.to_slot);
        this->replace(change.to, change.to_slot, moved);
        if (change.is_swap) {
            this->replace(change.from, change.from_slot, replaced);
        }
    }

    void evaluate(layer_change change, double power_sum, std::optional<layer_change>& best) {
        const std::uint32_t moved = this->at(change.from, change.from_slot);
        const std::uint32_t replaced = this->at(change.to, change.to_slot);
        double copies = this->was_held(change.to, moved) ? 0.0 : 1.0;
        copies += change.is_swap && !this->was_held(change.from, replaced) ? 1.0 : 0.0;
        this->record_shifts(change);
        change.value = this->extract_gain(power_sum) - this->limits.min_gain_per_copy * copies;
        if (change.value > (best ? best->value : 0.0)) {
            best = change;
        }
    }

    std::optional<layer_change> find() {
        const auto from = static_cast<std::uint32_t>(std::max_element(this->rank_load.begin(), this->rank_load.end()) -
                                                     this->rank_load.begin());
        double power_sum = 0.0;
        for (const double load : this->rank_load) {
            power_sum += eighth_power(load);
        }
        std::optional<layer_change> best;
        for (std::uint32_t to = 0; to < this->shape.ranks; ++to) {
            if (to == from || this->rank_load[to] >= this->rank_load[from]) {
                continue;
            }
            for (std::uint32_t i = 0; i < this->shape.slots_per_rank; ++i) {
                const std::uint32_t moved = this->at(from, i);
                if (moved != no_expert && !this->holds(to, moved)) {
                    this->search_slots(from, i, to, power_sum, best);
                }
            }
        }
        return best;
    }

    /// Evaluates all slots of rank `to` as targets for an expert of the most loaded rank.
    void search_slots(std::uint32_t from, std::uint32_t from_slot, std::uint32_t to, double power_sum,
                      std::optional<layer_change>& best) {
        const std::uint32_t moved = this->at(from, from_slot);
        for (std::uint32_t j = 0; j < this->shape.slots_per_rank; ++j) {
            const std::uint32_t content = this->at(to, j);
            if (!this->can_add(to, j, moved)) {
                continue;
            }
            if (content == no_expert || this->expert_ranks[content].size() > 1) {
                this->evaluate({from, from_slot, to, j, false, 0.0}, power_sum, best);
            }
            if (content != no_expert && this->share(content) < this->share(moved) && !this->holds(from, content) &&
                this->can_add(from, from_slot, content)) {
                this->evaluate({from, from_slot, to, j, true, 0.0}, power_sum, best);
            }
        }
    }

    expert_shape shape;
    std::span<std::uint32_t> slots;
    layer_plan_limits limits;
    std::span<std::uint32_t> copies;
    std::uint32_t changes{0};
    std::vector<std::uint32_t> original;
    std::vector<double> loads;                            ///< relative to the mean load of a rank
    std::vector<std::vector<std::uint32_t>> expert_ranks; ///< ranks that hold each expert
    std::vector<double> rank_load;
    // Shifts of the evaluated change; zero or empty between evaluations.
    std::vector<double> delta;
    std::vector<std::uint32_t> touched;
};

} // namespace

std::vector<double> layer_peaks(const expert_shape& shape, std::span<const std::uint32_t> slots,
                                std::span<const double> loads) {
    std::vector<double> peaks;
    std::vector<std::uint32_t> copy(slots.begin(), slots.end());
    std::vector<std::uint32_t> rank_copies(shape.ranks, 0);
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        const layer_search search{
            shape, std::span{copy}.subspan(layer * shape.slots_per_layer(), shape.slots_per_layer()),
            loads.subspan(std::size_t{layer} * shape.experts, shape.experts), layer_plan_limits{}, rank_copies};
        peaks.push_back(search.peak());
    }
    return peaks;
}

layer_plan plan_layers(const expert_shape& shape, std::span<const std::uint32_t> slots, std::span<const double> loads,
                       const layer_plan_limits& limits) {
    layer_plan plan{{slots.begin(), slots.end()}, 0};
    std::vector<std::uint32_t> rank_copies(shape.ranks, 0);
    std::vector<layer_search> searches;
    std::vector<std::uint32_t> open; // layers that may still improve
    searches.reserve(shape.layers);
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        searches.emplace_back(shape,
                              std::span{plan.slots}.subspan(layer * shape.slots_per_layer(), shape.slots_per_layer()),
                              loads.subspan(std::size_t{layer} * shape.experts, shape.experts), limits, rank_copies);
        open.push_back(layer);
    }
    // The layers share the copies that a rank may make, so the layer with the largest peak takes its next copy first.
    while (!open.empty()) {
        const auto next =
            std::max_element(open.begin(), open.end(), [&searches](std::uint32_t left, std::uint32_t right) {
                return searches[left].peak() < searches[right].peak();
            });
        if (!searches[*next].improve()) {
            open.erase(next);
        }
    }
    plan.copies_per_rank = *std::max_element(rank_copies.begin(), rank_copies.end());
    return plan;
}

} // namespace pomelohoist
