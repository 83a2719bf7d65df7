#include "balance/load_shift_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <random>
#include <vector>

using namespace pomelohoist;
using namespace std::chrono_literals;

namespace {

constexpr expert_shape test_shape{12, 96, 3, 11};
constexpr seconds_span round_time{0.15};
constexpr double round_tokens = 100000.0; // of each layer

/// Demand of the experts in a few layers; the popularity of an expert falls with its place in a random order.
class zipf_demand {
  public:
    explicit zipf_demand(std::uint64_t seed) : random(seed) {
        for (std::uint32_t layer = 0; layer < test_shape.layers; ++layer) {
            for (std::uint32_t expert = 0; expert < test_shape.experts; ++expert) {
                constexpr double skew = 1.3;
                this->weights.push_back(std::pow(expert + 1.0, -skew));
            }
            this->shuffle(layer);
        }
    }
    void change() {
        for (std::uint32_t layer = 0; layer < test_shape.layers; ++layer) {
            this->shuffle(layer);
        }
    }
    /// @param share part of a round's tokens
    std::vector<double> round(double share = 1.0) {
        std::vector<double> counts;
        for (const double weight : this->weights) {
            std::poisson_distribution<std::uint64_t> selections{share * round_tokens * weight / this->layer_weight()};
            counts.push_back(static_cast<double>(selections(this->random)));
        }
        return counts;
    }
    /// @returns largest difference between the estimated and the true share of an expert
    [[nodiscard]] double error_of(const std::vector<double>& estimate) const {
        double error = 0.0;
        for (std::uint32_t layer = 0; layer < test_shape.layers; ++layer) {
            const auto first = estimate.begin() + static_cast<std::ptrdiff_t>(layer) * test_shape.experts;
            const double total = std::accumulate(first, first + test_shape.experts, 0.0);
            for (std::uint32_t expert = 0; expert < test_shape.experts; ++expert) {
                const double expected = this->weights[layer * test_shape.experts + expert] / this->layer_weight();
                error = std::max(error, std::abs(first[expert] / total - expected));
            }
        }
        return error;
    }

  private:
    [[nodiscard]] double layer_weight() const {
        return std::accumulate(this->weights.begin(), this->weights.begin() + test_shape.experts, 0.0);
    }
    void shuffle(std::uint32_t layer) {
        const auto first = this->weights.begin() + static_cast<std::ptrdiff_t>(layer) * test_shape.experts;
        std::shuffle(first, first + test_shape.experts, this->random);
    }

    std::mt19937_64 random;
    std::vector<double> weights;
};

std::vector<double> sum_of(std::vector<double> left, const std::vector<double>& right) {
    std::transform(left.begin(), left.end(), right.begin(), left.begin(), std::plus<>{});
    return left;
}

load_shift_detector make_detector() {
    return {test_shape, 2s, 4s};
}

/// Error that a plan tolerates: a rank of this group has 8% of a layer's load.
constexpr double tolerated_error = 0.02;

} // namespace

// Guards against maps that are planned for a mixture of two loads: one round after a change, an average over a second
// still shows mostly the earlier load.
TEST(load_shift_detector_test, the_first_round_after_a_change_gives_the_new_load) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        zipf_demand demand{seed};
        load_shift_detector detector = make_detector();
        for (int i = 0; i < 20; ++i) {
            detector.add(demand.round(), round_time);
        }
        demand.change();
        detector.add(demand.round(), round_time);
        EXPECT_TRUE(detector.is_settled()) << "seed " << seed;
        EXPECT_LT(demand.error_of(detector.loads()), tolerated_error) << "seed " << seed;
        EXPECT_LT(detector.age(), round_time) << "seed " << seed;
    }
}

// Guards against a plan for the mixture of both loads when the load changes within a round.
TEST(load_shift_detector_test, the_earlier_load_is_subtracted_from_a_mixed_round) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        zipf_demand demand{seed};
        load_shift_detector detector = make_detector();
        for (int i = 0; i < 20; ++i) {
            detector.add(demand.round(), round_time);
        }
        const std::vector<double> before = demand.round(0.5);
        demand.change();
        detector.add(sum_of(before, demand.round(0.5)), round_time);
        EXPECT_TRUE(detector.is_settled()) << "seed " << seed;
        EXPECT_LT(demand.error_of(detector.loads()), tolerated_error) << "seed " << seed;
    }
}

// Guards against a copy of experts for a load that a round barely shows.
TEST(load_shift_detector_test, a_round_with_little_of_the_new_load_is_unsettled) {
    zipf_demand demand{3};
    load_shift_detector detector = make_detector();
    for (int i = 0; i < 20; ++i) {
        detector.add(demand.round(), round_time);
    }
    const std::vector<double> before = demand.round(0.67);
    demand.change();
    detector.add(sum_of(before, demand.round(0.33)), round_time);
    EXPECT_FALSE(detector.is_settled());
    detector.add(demand.round(), round_time);
    EXPECT_TRUE(detector.is_settled());
    EXPECT_LT(demand.error_of(detector.loads()), tolerated_error);
}

// Guards against needless switches: noise of the counts must not count as a change.
TEST(load_shift_detector_test, noise_is_no_change) {
    zipf_demand demand{5};
    load_shift_detector detector = make_detector();
    for (int i = 0; i < 500; ++i) {
        detector.add(demand.round(i % 3 == 0 ? 0.1 : 1.0), round_time);
        ASSERT_TRUE(detector.is_settled());
        ASSERT_GT(detector.age(), round_time * i);
    }
}

// Guards against a switch shortly before the next change: the time between changes is learned.
TEST(load_shift_detector_test, the_life_of_a_load_is_learned) {
    zipf_demand demand{7};
    load_shift_detector detector = make_detector();
    for (int change = 0; change < 12; ++change) {
        for (int i = 0; i < 12; ++i) { // 1.8 s
            detector.add(demand.round(), round_time);
        }
        demand.change();
    }
    detector.add(demand.round(), round_time);
    EXPECT_NEAR(detector.remaining_life().count(), 1.8, 0.3);
}
