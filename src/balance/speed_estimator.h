#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

/// Estimator of the speed of every rank from its step times and loads.
namespace pomelohoist {

class speed_estimator {
  public:
    speed_estimator(std::uint32_t ranks, double window_steps);
    /// @param loads tokens of each rank
    /// @param times step time of each rank
    void observe(std::span<const double> loads, std::span<const double> times);
    /// @returns speeds relative to their mean; 1.0 for a rank without observations
    [[nodiscard]] std::vector<double> speeds() const;

  private:
    static constexpr std::size_t recent_steps = 3;
    struct rank_state {
        std::array<double, recent_steps> recent{};
        std::uint64_t count{0};
        double rate{0.0}; ///< tokens per unit of time
    };

    double window;
    std::vector<rank_state> ranks;
};

} // namespace pomelohoist
