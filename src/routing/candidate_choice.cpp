#include "routing/candidate_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohoist {

std::vector<routing_candidate> without_avoided(const std::vector<routing_candidate>& reachable) {
    std::vector<routing_candidate> kept;
    kept.reserve(reachable.size());
    std::copy_if(reachable.begin(), reachable.end(), std::back_inserter(kept),
                 [](const routing_candidate& candidate) { return !candidate.in_cooldown; });
    // The marks are hints that may be out of date; with nobody else left, asking again is better than refusing.
    return kept.empty() ? reachable : kept;
}

void shuffle_front(std::vector<routing_candidate>& candidates, std::size_t number, random_source& random) {
    const std::size_t moved = std::min(number, candidates.size());
    for (std::size_t i = 0; i < moved; ++i) {
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
