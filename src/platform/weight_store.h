#pragma once

#include <pomelohoist/error.h>

#include <cstdint>
#include <string>

/// The platform's rate-limited store of model weights.
namespace pomelohoist {

class weight_store {
  public:
    virtual ~weight_store() = default;
    /// Requests the copy of one expert's weights to a rank.
    /// @returns done, `overloaded` when the copy rate is exhausted, or `store_unavailable`
    virtual result<done> fetch_expert(const std::string& group, std::uint32_t layer, std::uint32_t expert,
                                      std::uint32_t rank) = 0;
};

} // namespace pomelohoist
