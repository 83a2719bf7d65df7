#pragma once

#include <algorithm>
#include <cstdint>

/// Allowance of copies that the weight store finishes between two steps.
namespace pomelohoist {

class copy_pacer {
  public:
    explicit copy_pacer(double copies_per_step) : rate(copies_per_step), allowance(this->limit()) {}

    /// One step has passed.
    void advance() { this->allowance = std::min(this->allowance + this->rate, this->limit()); }
    /// @returns copies that stall no step now
    [[nodiscard]] std::uint32_t available() const { return static_cast<std::uint32_t>(this->allowance); }
    /// @returns copies that exceed the allowance
    double take(double copies) {
        const double excess = std::max(0.0, copies - this->allowance);
        this->allowance = std::max(0.0, this->allowance - copies);
        return excess;
    }

  private:
    // A swap needs two copies at once, so a slower store saves up for two.
    static constexpr double swap_copies = 2.0;
    [[nodiscard]] double limit() const { return std::max(this->rate, swap_copies); }

    double rate;
    double allowance;
};

} // namespace pomelohoist
