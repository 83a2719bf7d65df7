#pragma once

#include <cstdint>

/// Fencing of orders to the endpoint, also of an endpoint that ignores fencing numbers.
namespace pomelohoist {

class order_gate {
  public:
    virtual ~order_gate() = default;
    /// @returns true when the epoch is at least the highest seen, which it becomes
    virtual bool admit(std::uint64_t epoch) = 0;
};

} // namespace pomelohoist
