#include "replay/routing_comparison.h"

#include "common/random_source.h"

#include <pomelohoist/config.h>

#include <memory>
#include <optional>

namespace pomelohoist {

const std::vector<std::string>& routing_policy_names() {
    static const std::vector<std::string> names{"affinity", "random", "round_robin", "least_loaded", "two_choices"};
    return names;
}

std::vector<request_summary> compare_routing(const std::vector<request_record>& requests,
                                             const std::vector<std::string>& names, const std::vector<double>& loads,
                                             const endpoint_model_options& options, std::uint64_t seed) {
    const std::unique_ptr<offer_ranking> ranking = make_offer_ranking();
    std::vector<request_summary> summaries;
    for (const double load : loads) {
        for (const std::string& name : names) {
            const std::optional<routing_policy> kind = parse_routing_policy(name);
            if (!kind) {
                continue;
            }
            seeded_random random{seed};
            const std::unique_ptr<candidate_policy> policy = make_candidate_policy(*kind, random);
            const std::size_t candidates = *kind == routing_policy::affinity ? config::reserve_candidates : 1;
            summaries.push_back(run_requests(requests, {name, policy.get(), candidates}, *ranking, options, load));
        }
    }
    return summaries;
}

} // namespace pomelohoist
