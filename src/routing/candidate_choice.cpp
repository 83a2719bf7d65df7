#include "routing/candidate_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohoist {

std::vector<routing_candidate> without_cooldown(const std::vector<routing_candidate>& reachable) {
    std::vector<routing_candidate> available;
    available.reserve(reachable.size());
    std::copy_if(reachable.begin(), reachable.end(), std::back_inserter(available),
                 [](const routing_candidate& candidate) { return !candidate.in_cooldown; });
    // Cooldowns are hints that may be out of date. When all candidates are in cooldown, querying them is better than
    // refusing the request.
    return available.empty() ? reachable : available;
}

void shuffle_front(std::vector<routing_candidate>& candidates, std::size_t number, random_source& random) {
    const std::size_t shuffled_count = std::min(number, candidates.size());
    for (std::size_t i = 0; i < shuffled_count; ++i) {
        std::swap(candidates[i], candidates[i + random.next_below(candidates.size() - i)]);
    }
}

std::vector<endpoint_handle> first_handles(const std::vector<routing_candidate>& candidates, std::size_t limit) {
    std::vector<endpoint_handle> handles;
    for (std::size_t i = 0; i < std::min(limit, candidates.size()); ++i) {
        handles.push_back(candidates[i].handle);
    }
    return handles;
}

} // namespace pomelohoist
