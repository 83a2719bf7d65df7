#pragma once

#include "balance/placement.h"

#include <cstdint>
#include <optional>
#include <vector>

/// Search for the best next change of a placement.
namespace pomelohoist {

/// Limits that a change must meet.
struct change_limits {
    double saving_per_copy{0.0}; ///< minimum decrease of the imbalance per copy
    double noise{0.0};           ///< uncertainty of a rank's load, relative to the mean load
    std::uint32_t max_copies{0}; ///< remaining copies

    friend bool operator==(const change_limits&, const change_limits&) = default;
};

class change_search {
  public:
    /// @param start layer that is searched first, modulo the number of layers; should vary between searches, because
    /// with very many slots a search ends before it reaches all layers
    change_search(const expert_shape& group, const placement& start_placement, const change_limits& search_limits,
                  std::uint64_t start);
    /// @returns the change with the greatest net saving per copy, or nothing when no change has a positive net saving
    std::optional<placement_change> find();

  private:
    void search_pair(std::uint32_t slow, std::uint32_t fast);
    void search_layer(std::uint32_t layer, std::uint32_t slow, std::uint32_t fast);
    void search_slots(const expert_move& from, const expert_move& to);
    void search_drops(std::uint32_t slow);
    void evaluate(const placement_change& change);
    [[nodiscard]] double value_of(const placement_change& change) const;

    expert_shape shape;
    const placement& current;
    change_limits limits;
    std::uint32_t first_layer;
    std::optional<placement_change> best;
    double best_value{0.0};
    std::uint64_t evaluations{0};
};

} // namespace pomelohoist
