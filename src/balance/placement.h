#pragma once

#include <pomelohoist/expert_balance.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

/// Working copy of an expert map and the resulting loads, for a search over small changes.
namespace pomelohoist {

/// One small change of a placement: at most two slots get new content.
struct placement_change {
    std::array<expert_move, 2> moves{};
    std::uint32_t move_count{0};
    std::uint32_t copies{0}; ///< slots that get a copy
    double saving{0.0};      ///< decrease of the imbalance
    double shifted{0.0};     ///< load that moves between ranks, counted at both ranks

    friend bool operator==(const placement_change&, const placement_change&) = default;
};

class placement {
  public:
    /// @param loads expected tokens in the order layer, expert
    /// @param rank_speeds relative to their mean
    placement(const expert_map& map, std::vector<double> loads, std::vector<double> rank_speeds);

    /// @returns expected step time of a rank, relative to the mean
    [[nodiscard]] double time_of(std::uint32_t rank) const { return this->rank_load[rank] / this->speeds[rank]; }
    /// @returns sum over the ranks of load^2 / speed, with loads and speeds relative to their means, less the
    /// minimum of this sum
    [[nodiscard]] double imbalance() const;
    [[nodiscard]] std::uint32_t expert_at(std::uint32_t layer, std::uint32_t rank, std::uint32_t slot) const {
        return this
            ->slots[layer * this->shape.slots_per_layer() + std::size_t{rank} * this->shape.slots_per_rank + slot];
    }
    [[nodiscard]] bool holds(std::uint32_t layer, std::uint32_t rank, std::uint32_t expert) const;
    [[nodiscard]] std::size_t replicas(std::uint32_t layer, std::uint32_t expert) const {
        return this->ranks_of(layer, expert).size();
    }
    /// @returns load of one replica
    [[nodiscard]] double share(std::uint32_t layer, std::uint32_t expert) const;

    /// Evaluates a swap of the experts of two slots.
    [[nodiscard]] placement_change swap(std::uint32_t layer, const expert_move& left, const expert_move& right) const;
    /// Evaluates a copy of an expert to a slot, which replaces the slot's content.
    /// @param emptied slot whose replica of the expert is dropped, or null to keep all replicas
    [[nodiscard]] placement_change copy(const expert_move& target, const expert_move* emptied) const;
    /// Evaluates a drop of a replica.
    [[nodiscard]] placement_change drop(const expert_move& emptied) const;
    void apply(const placement_change& change);

  private:
    [[nodiscard]] const std::vector<std::uint32_t>& ranks_of(std::uint32_t layer, std::uint32_t expert) const {
        return this->expert_ranks[std::size_t{layer} * this->shape.experts + expert];
    }
    /// Records in `delta` how the load of a rank would change.
    void shift(std::uint32_t rank, double load) const;
    void shift_replica_count(std::uint32_t layer, std::uint32_t expert, std::size_t next_count) const;
    /// Adds the effect of the shifts in `delta` to a change and clears the shifts.
    void finish_change(placement_change& change) const;
    void set_slot(const expert_move& move);
    void add_loads(std::uint32_t layer, std::uint32_t expert, double sign);

    expert_shape shape;
    std::vector<double> expert_load;
    std::vector<double> speeds;
    std::vector<std::uint32_t> slots;
    std::vector<std::vector<std::uint32_t>> expert_ranks; ///< ranks that hold each expert, in the order layer, expert
    std::vector<double> rank_load;
    // Shifts of the evaluated change; zero or empty between evaluations.
    mutable std::vector<double> delta;
    mutable std::vector<std::uint32_t> touched;
};

} // namespace pomelohoist
