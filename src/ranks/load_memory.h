#pragma once

#include <pomelohoist/error.h>

#include <string>
#include <vector>

/// Keeps the experts' loads of a group where they outlast every process of the system.
namespace pomelohoist {

/// Answers a start of all processes at once: the group forms with the first map, whose most loaded rank has some three
/// times the mean, and the new coordinator would have to count for some rounds before it could plan a better one.
/// @attention used by one thread
class load_memory {
  public:
    virtual ~load_memory() = default;
    /// @param loads in the order layer, expert; only their proportions are kept
    virtual result<done> save(const std::string& group, const std::vector<double>& loads) = 0;
    /// @returns the loads that were saved last, empty where there are none, or `store_unavailable`
    virtual result<std::vector<double>> recall(const std::string& group) = 0;
};

} // namespace pomelohoist
