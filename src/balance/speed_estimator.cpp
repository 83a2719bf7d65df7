#include "balance/speed_estimator.h"

#include <algorithm>
#include <cmath>

namespace pomelohoist {

speed_estimator::speed_estimator(std::uint32_t ranks, double window_steps)
    : window(std::max(window_steps, 1.0)), ranks(ranks) {}

void speed_estimator::observe(std::span<const double> loads, std::span<const double> times) {
    for (std::size_t rank = 0; rank < this->ranks.size(); ++rank) {
        const double rate = loads[rank] / times[rank];
        if (!(loads[rank] > 0.0) || !std::isfinite(rate) || rate <= 0.0) {
            continue;
        }
        rank_state& state = this->ranks[rank];
        state.recent[state.count % recent_steps] = rate;
        ++state.count;
        if (state.count < recent_steps) {
            state.rate += (rate - state.rate) / static_cast<double>(state.count);
            continue;
        }
        // The median ignores a stall of one step, which does not predict the speed of later steps.
        std::array<double, recent_steps> sorted = state.recent;
        std::sort(sorted.begin(), sorted.end());
        const double gain = 1.0 / std::min(static_cast<double>(state.count), this->window);
        state.rate += gain * (sorted[1] - state.rate);
    }
}

std::vector<double> speed_estimator::speeds() const {
    double sum = 0.0;
    double observed_ranks = 0.0;
    for (const rank_state& state : this->ranks) {
        sum += state.rate;
        observed_ranks += state.count > 0 ? 1.0 : 0.0;
    }
    std::vector<double> speeds(this->ranks.size(), 1.0);
    for (std::size_t rank = 0; rank < speeds.size(); ++rank) {
        if (this->ranks[rank].count > 0) {
            speeds[rank] = this->ranks[rank].rate * observed_ranks / sum;
        }
    }
    return speeds;
}

} // namespace pomelohoist
