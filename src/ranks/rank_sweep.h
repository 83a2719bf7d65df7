#pragma once

#include <cstdint>
#include <functional>

/// Calls to all ranks of a group.
namespace pomelohoist {

class rank_sweep {
  public:
    virtual ~rank_sweep() = default;
    /// Calls the function once for each rank and returns when all calls have ended.
    /// @param call is called with the number of a rank, possibly by several threads at once
    virtual void for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) = 0;
};

/// One rank after the other, in the calling thread.
class sequential_sweep : public rank_sweep {
  public:
    void for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) override;
};

/// Several ranks at once. A call to a rank takes some milliseconds, nearly all of them waiting; one after the other, 32
/// ranks would take longer than the steps that a switch is named ahead.
class parallel_sweep : public rank_sweep {
  public:
    void for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) override;
};

} // namespace pomelohoist
