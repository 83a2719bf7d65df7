#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <span>
#include <vector>

/// Expected tokens of every expert, from token counts only.
namespace pomelohoist {

/// Keeps the experts' shares and the volume of each layer. The share is a long average, which is replaced by a short
/// one when the two differ by more than the noise of single steps explains.
class load_estimator {
  public:
    load_estimator(const expert_shape& group, double window_steps);
    /// @param tokens in the order layer, expert
    void observe(std::span<const double> tokens);
    /// @returns expected tokens for one step, in the order layer, expert
    [[nodiscard]] std::vector<double> loads() const;
    /// @returns ratio of the variance of an estimate to the variance of one step, the mean of the layers
    [[nodiscard]] double variance_ratio() const;

  private:
    struct layer_state {
        std::vector<double> slow;
        std::vector<double> fast;
        double noise{0.0};  ///< usual distance between one step and the short average
        double count{0.0};  ///< steps in the long average, up to the window
        double volume{0.0}; ///< average tokens for one step
    };

    void observe_layer(layer_state& layer, std::span<const double> tokens);

    expert_shape shape;
    double window;
    double steps{0.0};
    std::vector<layer_state> layers;
};

} // namespace pomelohoist
