#include "routing/candidate_policy_baselines.h"

#include "routing/candidate_choice.h"

#include <algorithm>

namespace pomelohoist {

std::vector<endpoint_handle> candidate_policy_random::pick(const routing_query& query,
                                                           const std::vector<routing_candidate>& reachable) {
    std::vector<routing_candidate> candidates = without_cooldown(reachable);
    shuffle_front(candidates, query.limit, this->random);
    return first_handles(candidates, query.limit);
}

std::vector<endpoint_handle> candidate_policy_round_robin::pick(const routing_query& query,
                                                                const std::vector<routing_candidate>& reachable) {
    std::vector<routing_candidate> candidates = without_cooldown(reachable);
    if (candidates.empty()) {
        return {};
    }
    const std::size_t first = this->next++ % candidates.size();
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end());
    return first_handles(candidates, query.limit);
}

std::vector<endpoint_handle> candidate_policy_least_loaded::pick(const routing_query& query,
                                                                 const std::vector<routing_candidate>& reachable) {
    std::vector<routing_candidate> candidates = without_cooldown(reachable);
    shuffle_front(candidates, candidates.size(), this->random);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const routing_candidate& left, const routing_candidate& right) {
                         return left.reported_load < right.reported_load;
                     });
    return first_handles(candidates, query.limit);
}

std::vector<endpoint_handle> candidate_policy_two_choices::pick(const routing_query& query,
                                                                const std::vector<routing_candidate>& reachable) {
    constexpr std::size_t choices = 2;
    std::vector<routing_candidate> candidates = without_cooldown(reachable);
    std::vector<endpoint_handle> handles;
    while (handles.size() < query.limit && !candidates.empty()) {
        shuffle_front(candidates, choices, this->random);
        const bool is_second_better =
            candidates.size() >= choices && candidates[1].reported_load < candidates[0].reported_load;
        const auto better = candidates.begin() + (is_second_better ? 1 : 0);
        handles.push_back(better->handle);
        candidates.erase(better);
    }
    return handles;
}

} // namespace pomelohoist
