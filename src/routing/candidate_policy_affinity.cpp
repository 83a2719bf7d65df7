#include "routing/candidate_policy_affinity.h"

#include "common/digest.h"
#include "routing/candidate_choice.h"

#include <algorithm>
#include <string_view>

namespace pomelohoist {

namespace {

std::uint64_t rendezvous_weight(const routing_candidate& candidate, std::uint64_t prefix_hash) {
    const std::string_view bytes{reinterpret_cast<const char*>(&candidate.name_hash), sizeof(candidate.name_hash)};
    return hash64(bytes, prefix_hash);
}

} // namespace

std::vector<endpoint_handle> candidate_policy_affinity::pick(const routing_query& query,
                                                             const std::vector<routing_candidate>& reachable) {
    std::vector<routing_candidate> candidates = without_cooldown(reachable);
    std::size_t prefix_count = 0;
    if (query.prefix_hash != 0 && query.limit > 0) {
        // With a limit of two or more, at least one candidate is random, so that a popular prefix can spread beyond its
        // first endpoints.
        prefix_count =
            std::min({config::affinity_candidates, std::max<std::size_t>(query.limit - 1, 1), candidates.size()});
    }
    const auto split = candidates.begin() + static_cast<std::ptrdiff_t>(prefix_count);
    std::partial_sort(candidates.begin(), split, candidates.end(),
                      [&query](const routing_candidate& left, const routing_candidate& right) {
                          return rendezvous_weight(left, query.prefix_hash) >
                                 rendezvous_weight(right, query.prefix_hash);
                      });
    std::vector<routing_candidate> rest{split, candidates.end()};
    candidates.erase(split, candidates.end());
    const std::size_t random_count = query.limit - std::min(query.limit, prefix_count);
    shuffle_front(rest, random_count, this->random);
    std::vector<endpoint_handle> picked = first_handles(candidates, query.limit);
    const std::vector<endpoint_handle> random_handles = first_handles(rest, random_count);
    picked.insert(picked.end(), random_handles.begin(), random_handles.end());
    return picked;
}

} // namespace pomelohoist
