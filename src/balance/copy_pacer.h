#pragma once

#include <algorithm>
#include <cstdint>

/// Rate limit of copies: the weight store completes only a certain number of them between two steps.
namespace pomelohoist {

class copy_pacer {
  public:
    explicit copy_pacer(double copies_per_step) : rate(copies_per_step), allowance(this->limit()) {}

    /// Refills the allowance after a step.
    void advance() { this->allowance = std::min(this->allowance + this->rate, this->limit()); }
    /// @returns number of copies that would not stall a step now
    [[nodiscard]] std::uint32_t available() const { return static_cast<std::uint32_t>(this->allowance); }
    /// Deducts copies from the allowance.
    /// @returns number of copies that exceed the allowance
    double consume(double copies) {
        const double excess = std::max(0.0, copies - this->allowance);
        this->allowance = std::max(0.0, this->allowance - copies);
        return excess;
    }

  private:
    // A swap needs two copies at once, so the allowance can reach two even when the store's rate is lower.
    static constexpr double swap_copies = 2.0;
    [[nodiscard]] double limit() const { return std::max(this->rate, swap_copies); }

    double rate;
    double allowance;
};

} // namespace pomelohoist
