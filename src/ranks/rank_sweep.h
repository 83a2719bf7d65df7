#pragma once

#include <cstdint>
#include <functional>

/// Calls to all ranks of a group.
namespace pomelohoist {

class rank_sweep {
  public:
    virtual ~rank_sweep() = default;
    /// Runs `call` once for each rank and returns when all calls have returned.
    /// @param call gets the number of a rank; several threads may call it at once
    virtual void for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) = 0;
};

/// Calls the ranks one after the other, in the calling thread.
class sequential_sweep : public rank_sweep {
  public:
    void for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) override;
};

/// Calls several ranks at once. A call takes some milliseconds, mostly of waiting; sequential calls to 32 ranks would
/// take longer than the group takes to reach the target step of a switch.
class parallel_sweep : public rank_sweep {
  public:
    void for_each(std::uint32_t ranks, const std::function<void(std::uint32_t)>& call) override;
};

} // namespace pomelohoist
