#pragma once

#include <pomelohoist/error.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <vector>

/// Balance of expert load over the ranks of one model group.
namespace pomelohoist {

/// Dimensions of a group. Every rank has the same number of expert slots in each layer.
struct expert_shape {
    std::uint32_t ranks{1};
    std::uint32_t experts{1};
    std::uint32_t layers{1};
    std::uint32_t slots_per_rank{1}; ///< ranks * slots_per_rank >= experts; the surplus holds replicas

    [[nodiscard]] std::size_t slots_per_layer() const { return std::size_t{this->ranks} * this->slots_per_rank; }
    [[nodiscard]] std::size_t slots() const { return this->slots_per_layer() * this->layers; }
    [[nodiscard]] std::size_t cells() const { return std::size_t{this->layers} * this->experts; }
    friend bool operator==(const expert_shape&, const expert_shape&) = default;
};

/// Content of an empty slot.
inline constexpr std::uint32_t no_expert = std::numeric_limits<std::uint32_t>::max();

/// New content of one slot: a copy of an expert, or `no_expert` to drop a replica.
struct expert_move {
    std::uint32_t layer{0};
    std::uint32_t rank{0};
    std::uint32_t slot{0};
    std::uint32_t expert{no_expert};

    friend bool operator==(const expert_move&, const expert_move&) = default;
};

/// Which rank holds which experts, in every layer. Immutable.
class expert_map {
  public:
    /// Makes version 1: experts in ascending order over the ranks' slots; the surplus slots start again at expert 0.
    explicit expert_map(const expert_shape& size);
    /// @param content experts in the order layer, rank, slot
    /// @returns the map, or `bad_request` when a layer lacks an expert, or a rank holds an expert twice in a layer
    static result<expert_map> make(const expert_shape& size, std::uint64_t version, std::vector<std::uint32_t> content);

    [[nodiscard]] const expert_shape& shape() const { return this->size; }
    [[nodiscard]] std::uint64_t version() const { return this->number; }
    /// @returns the expert, or `no_expert`
    [[nodiscard]] std::uint32_t expert_at(std::uint32_t layer, std::uint32_t rank, std::uint32_t slot) const {
        return this
            ->content[layer * this->size.slots_per_layer() + std::size_t{rank} * this->size.slots_per_rank + slot];
    }
    [[nodiscard]] bool holds(std::uint32_t layer, std::uint32_t rank, std::uint32_t expert) const;
    /// @returns all slots in the order layer, rank, slot
    [[nodiscard]] std::span<const std::uint32_t> slots() const { return this->content; }
    /// @returns the next version with all moves applied at once, or `bad_request` as in `make`
    [[nodiscard]] result<expert_map> with_moves(std::span<const expert_move> moves) const;

    friend bool operator==(const expert_map&, const expert_map&) = default;

  private:
    expert_map(const expert_shape& size, std::uint64_t version, std::vector<std::uint32_t> slots);

    expert_shape size;
    std::uint64_t number{1};
    std::vector<std::uint32_t> content;
};

/// @returns number of experts that a rank holds in `after` but not in `before`, summed over ranks and layers
std::uint64_t count_copies(const expert_map& before, const expert_map& after);

/// @param tokens tokens of each expert, in the order layer, expert
/// @returns tokens of each rank summed over the layers; the replicas of an expert share its tokens evenly
std::vector<double> rank_loads(const expert_map& map, std::span<const double> tokens);

/// Options of a balancer; section [balance] of a settings file.
struct balance_options {
    double skew_weight{1.0};        ///< weight of the benefit of an even load, per step
    double move_weight{1.0};        ///< cost of one copied expert
    double horizon_steps{100.0};    ///< steps within which the saving of a move must exceed its cost
    double copies_per_step{4.0};    ///< copies that the weight store can deliver per step
    double load_window_steps{24.0}; ///< averaging window of expert load in steps, while the load distribution is stable
    double speed_window_steps{4.0}; ///< averaging window of rank speed in steps
    double noise_margin{2.0};       ///< number of standard errors by which a saving must exceed the noise
    std::uint32_t min_steps{2};     ///< observed steps before the first plan
    std::uint32_t max_plan_copies{64}; ///< limit of copies in one plan, which also limits planning time

    friend bool operator==(const balance_options&, const balance_options&) = default;
};

/// Decides which experts are copied to which slots. One object serves one group.
/// @attention not safe for several threads
class expert_balancer {
  public:
    virtual ~expert_balancer() = default;
    /// Records the measurements of one step.
    /// @param tokens tokens of each expert, in the order layer, expert; zero where a layer did not run
    /// @param rank_times step time of each rank, in any unit that stays the same
    /// @param current_map map of this step
    virtual void observe(std::span<const double> tokens, std::span<const double> rank_times,
                         const expert_map& current_map) = 0;
    /// Plans the next moves; called between steps.
    /// @returns moves for `current.with_moves`, within the rate of the weight store; empty to keep the map
    virtual std::vector<expert_move> plan(const expert_map& current) = 0;
};

/// The balancing policy for production.
std::unique_ptr<expert_balancer> make_adaptive_balancer(const expert_shape& shape, const balance_options& options);
/// Baseline that keeps the first map.
std::unique_ptr<expert_balancer> make_never_move_balancer();
/// Baseline that computes a new placement of all experts every 20 steps, regardless of the present map and of the
/// weight store's rate.
std::unique_ptr<expert_balancer> make_greedy_replan_balancer(const expert_shape& shape, const balance_options& options);

} // namespace pomelohoist
