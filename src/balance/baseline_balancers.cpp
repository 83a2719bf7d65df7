#include "balance/packing.h"
#include "balance/speed_estimator.h"

#include <pomelohoist/expert_balance.h>

#include <algorithm>
#include <numeric>

namespace pomelohoist {

namespace {

constexpr std::uint64_t replan_interval_steps = 20;

class never_move_balancer : public expert_balancer {
  public:
    void observe(std::span<const double> /*tokens*/, std::span<const double> /*rank_times*/,
                 const expert_map& /*current_map*/) override {}
    std::vector<expert_move> plan(const expert_map& /*current*/) override { return {}; }
};

/// Plans after the first step, so that this baseline has no disadvantage at the start, and then once in each interval,
/// from the mean load of the steps since its last plan. Estimates speeds in the same way as the adaptive balancer.
class greedy_replan_balancer : public expert_balancer {
  public:
    greedy_replan_balancer(const expert_shape& group, const balance_options& options)
        : shape(group), speed(group.ranks, options.speed_window_steps), sums(group.cells(), 0.0) {}

    void observe(std::span<const double> tokens, std::span<const double> rank_times,
                 const expert_map& current_map) override {
        ++this->steps;
        this->speed.observe(rank_loads(current_map, tokens), rank_times);
        for (std::size_t cell = 0; cell < tokens.size(); ++cell) {
            this->sums[cell] += tokens[cell];
        }
    }

    std::vector<expert_move> plan(const expert_map& current) override {
        std::vector<expert_move> moves;
        const bool is_idle = !(std::accumulate(this->sums.begin(), this->sums.end(), 0.0) > 0.0);
        if (this->steps % replan_interval_steps != 1 || is_idle) {
            return moves;
        }
        const std::vector<std::uint32_t> next = pack_experts(this->shape, this->sums, this->speed.speeds());
        std::fill(this->sums.begin(), this->sums.end(), 0.0);
        for (std::size_t i = 0; i < next.size(); ++i) {
            if (next[i] != current.slots()[i]) {
                const std::size_t in_layer = i % this->shape.slots_per_layer();
                moves.push_back({static_cast<std::uint32_t>(i / this->shape.slots_per_layer()),
                                 static_cast<std::uint32_t>(in_layer / this->shape.slots_per_rank),
                                 static_cast<std::uint32_t>(in_layer % this->shape.slots_per_rank), next[i]});
            }
        }
        return moves;
    }

  private:
    expert_shape shape;
    speed_estimator speed;
    std::uint64_t steps{0};
    std::vector<double> sums;
};

} // namespace

std::unique_ptr<expert_balancer> make_never_move_balancer() {
    return std::make_unique<never_move_balancer>();
}

std::unique_ptr<expert_balancer> make_greedy_replan_balancer(const expert_shape& shape,
                                                             const balance_options& options) {
    return std::make_unique<greedy_replan_balancer>(shape, options);
}

} // namespace pomelohoist
