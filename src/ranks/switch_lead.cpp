#include "ranks/switch_lead.h"

#include <algorithm>
#include <cmath>

namespace pomelohoist {

std::uint64_t choose_lead(const switch_pace& pace, std::uint64_t limit) {
    // Up to one step more than counted may have passed, so the steps are not taken for longer than they are.
    const auto most_steps = static_cast<double>(pace.begun_steps + 1);
    const double steps = std::ceil(pace.arming_time * most_steps / pace.observed);
    // The step in progress counts as one of the lead, but may end at once.
    return steps < static_cast<double>(limit) ? std::min(limit, 1 + static_cast<std::uint64_t>(steps)) : limit;
}

} // namespace pomelohoist
