#include "balance/change_search.h"
#include "balance/copy_pacer.h"
#include "balance/load_estimator.h"
#include "balance/placement.h"
#include "balance/speed_estimator.h"

#include <pomelohoist/expert_balance.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <utility>

namespace pomelohoist {

namespace {

constexpr double noise_gain = 0.1;

/// @returns the loads relative to their mean
std::vector<double> relative_to_mean(std::vector<double> loads) {
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    for (double& load : loads) {
        load *= static_cast<double>(loads.size()) / total;
    }
    return loads;
}

class adaptive_balancer : public expert_balancer {
  public:
    adaptive_balancer(const expert_shape& group, const balance_options& tunables)
        : shape(group), options(tunables), load(group, tunables.load_window_steps),
          speed(group.ranks, tunables.speed_window_steps), pacer(tunables.copies_per_step) {}

    void observe(std::span<const double> tokens, std::span<const double> rank_times,
                 const expert_map& current_map) override {
        this->pacer.advance();
        std::vector<double> loads = rank_loads(current_map, tokens);
        if (!(std::accumulate(loads.begin(), loads.end(), 0.0) > 0.0)) {
            return; // an idle step contains no information about speed or load
        }
        ++this->steps;
        this->load.observe(tokens);
        this->speed.observe(loads, rank_times);
        this->observe_noise(relative_to_mean(std::move(loads)), current_map.version());
    }

    std::vector<expert_move> plan(const expert_map& current) override {
        std::vector<expert_move> moves;
        if (this->steps < this->options.min_steps) {
            return moves;
        }
        placement working{current, this->load.loads(), this->speed.speeds()};
        change_limits limits = this->current_limits();
        // Drops need no copies, so the number of changes is bounded separately.
        for (std::uint32_t i = 0; i < this->options.max_plan_copies && limits.max_copies > 0; ++i) {
            change_search search{this->shape, working, limits, this->steps + i};
            const std::optional<placement_change> change = search.find();
            if (!change) {
                break;
            }
            working.apply(*change);
            moves.insert(moves.end(), change->moves.begin(), change->moves.begin() + change->move_count);
            limits.max_copies -= change->copies;
            this->pacer.consume(change->copies);
        }
        return moves;
    }

  private:
    [[nodiscard]] change_limits current_limits() const {
        const double benefit_per_saving = this->options.horizon_steps * this->options.skew_weight;
        const double deviation = std::sqrt(this->noise * this->load.variance_ratio());
        return change_limits{this->options.move_weight / benefit_per_saving, this->options.noise_margin * deviation,
                             std::min(this->pacer.available(), this->options.max_plan_copies)};
    }

    /// Estimates the noise of a rank's load from the difference between two steps with the same map. Drift hardly
    /// affects this difference, and a sudden change affects it only once.
    void observe_noise(std::vector<double> loads, std::uint64_t version) {
        if (version == this->previous_version) {
            double sum = 0.0;
            for (std::size_t rank = 0; rank < loads.size(); ++rank) {
                const double difference = loads[rank] - this->previous_loads[rank];
                // The difference of two independent steps has twice the variance of one step.
                sum += difference * difference / 2.0;
            }
            const double sample = sum / static_cast<double>(loads.size());
            this->noise += (this->noise > 0.0 ? noise_gain : 1.0) * (sample - this->noise);
        }
        this->previous_loads = std::move(loads);
        this->previous_version = version;
    }

    expert_shape shape;
    balance_options options;
    load_estimator load;
    speed_estimator speed;
    copy_pacer pacer;
    std::uint64_t steps{0};
    double noise{0.0}; ///< variance of a rank's relative load between steps
    std::vector<double> previous_loads;
    std::uint64_t previous_version{0};
};

} // namespace

std::unique_ptr<expert_balancer> make_adaptive_balancer(const expert_shape& shape, const balance_options& options) {
    return std::make_unique<adaptive_balancer>(shape, options);
}

} // namespace pomelohoist
