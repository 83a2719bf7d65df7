#pragma once

#include <pomelohoist/expert_balance.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

/// Working copy of an expert map with the loads that it causes, for a search over small changes.
namespace pomelohoist {

/// One small change of a placement: at most two slots get new content.
struct placement_change {
    std::array<expert_move, 2> moves{};
    std::uint32_t move_count{0};
    std::uint32_t copies{0}; ///< slots that get a copy
    double saving{0.0};      ///< decrease of the imbalance
    double shifted{0.0};     ///< load that changes ranks, counted at both ends

    friend bool operator==(const placement_change&, const placement_change&) = default;
};

class placement {
  public:
    /// @param loads expected tokens in the order layer, expert
    /// @param rank_speeds relative to their mean
    placement(const expert_map& map, std::vector<double> loads, std::vector<double> rank_speeds);

    /// @returns expected step time of a rank, relative to the mean
    [[nodiscard]] double time_of(std::uint32_t rank) const { return this->rank_load[rank] / this->speeds[rank]; }
    /// @returns sum over the ranks of load^2 / speed, relative to its least possible value per rank
    [[nodiscard]] double imbalance() const;
    [[nodiscard]] std::uint32_t expert_at(std::uint32_t layer, std::uint32_t rank, std::uint32_t slot) const {
        return this
            ->slots[layer * this->shape.slots_per_layer() + std::size_t{rank} * this->shape.slots_per_rank + slot];
    }
    [[nodiscard]] bool holds(std::uint32_t layer, std::uint32_t rank, std::uint32_t expert) const;
    [[nodiscard]] std::size_t replicas(std::uint32_t layer, std::uint32_t expert) const {
        return this->hosts_of(layer, expert).size();
    }
    /// @returns load of one replica
    [[nodiscard]] double share(std::uint32_t layer, std::uint32_t expert) const;

    /// Exchanges the experts of two slots.
    [[nodiscard]] placement_change swap(std::uint32_t layer, const expert_move& left, const expert_move& right) const;
    /// Copies an expert to a slot, which loses its present content.
    /// @param emptied slot that loses its replica of the expert, or null to keep it
    [[nodiscard]] placement_change copy(const expert_move& target, const expert_move* emptied) const;
    /// Drops a replica.
    [[nodiscard]] placement_change drop(const expert_move& emptied) const;
    void apply(const placement_change& change);

  private:
    [[nodiscard]] const std::vector<std::uint32_t>& hosts_of(std::uint32_t layer, std::uint32_t expert) const {
        return this->hosts[std::size_t{layer} * this->shape.experts + expert];
    }
    void shift(std::uint32_t rank, double load) const;
    void shift_replica_count(std::uint32_t layer, std::uint32_t expert, std::size_t next_count) const;
    void finish(placement_change& change) const;
    void set_slot(const expert_move& move);
    void add_loads(std::uint32_t layer, std::uint32_t expert, double sign);

    expert_shape shape;
    std::vector<double> expert_load;
    std::vector<double> speeds;
    std::vector<std::uint32_t> slots;
    std::vector<std::vector<std::uint32_t>> hosts;
    std::vector<double> rank_load;
    // Scratch space of one evaluation; empty between calls.
    mutable std::vector<double> delta;
    mutable std::vector<std::uint32_t> touched;
};

} // namespace pomelohoist
