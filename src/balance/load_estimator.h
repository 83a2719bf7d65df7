#pragma once

#include <pomelohoist/expert_balance.h>

#include <cstdint>
#include <span>
#include <vector>

/// Estimator of the expected tokens of every expert from token counts.
namespace pomelohoist {

/// Estimates, for each layer, the tokens per step and the experts' shares of these tokens. A share is a long moving
/// average. When the short average differs from the long one by more than the noise of single steps explains, the short
/// average replaces the long one.
class load_estimator {
  public:
    load_estimator(const expert_shape& group, double window_steps);
    /// @param tokens in the order layer, expert
    void observe(std::span<const double> tokens);
    /// @returns expected tokens for one step, in the order layer, expert
    [[nodiscard]] std::vector<double> loads() const;
    /// @returns ratio of the variance of an estimate to the variance of one step, averaged over the layers
    [[nodiscard]] double variance_ratio() const;

  private:
    struct layer_state {
        std::vector<double> long_average;  ///< long average of the experts' shares
        std::vector<double> short_average; ///< short average of the experts' shares
        double noise{0.0};                 ///< usual distance between one step and the short average
        double count{0.0};                 ///< steps in the long average, up to the window
        double volume{0.0};                ///< average tokens for one step
    };

    void observe_layer(layer_state& layer, std::span<const double> tokens);

    expert_shape shape;
    double window;
    double steps{0.0}; ///< observed steps, up to the window
    std::vector<layer_state> layers;
};

} // namespace pomelohoist
