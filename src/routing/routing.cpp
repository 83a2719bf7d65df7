#include "routing/candidate_policy_affinity.h"
#include "routing/candidate_policy_baselines.h"
#include "routing/offer_ranking_first_token.h"

#include <array>

namespace pomelohoist {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(routing_policy::count)> policy_names{
    "affinity", "random", "round_robin", "least_loaded", "two_choices"};

} // namespace

std::optional<routing_policy> parse_routing_policy(std::string_view name) {
    for (std::size_t i = 0; i < policy_names.size(); ++i) {
        if (policy_names.at(i) == name) {
            return static_cast<routing_policy>(i);
        }
    }
    return std::nullopt;
}

std::unique_ptr<candidate_policy> make_candidate_policy(routing_policy kind, random_source& random) {
    switch (kind) {
    case routing_policy::random:
        return std::make_unique<candidate_policy_random>(random);
    case routing_policy::round_robin:
        return std::make_unique<candidate_policy_round_robin>();
    case routing_policy::least_loaded:
        return std::make_unique<candidate_policy_least_loaded>(random);
    case routing_policy::two_choices:
        return std::make_unique<candidate_policy_two_choices>(random);
    case routing_policy::affinity:
    case routing_policy::count:
        break;
    }
    return std::make_unique<candidate_policy_affinity>(random);
}

std::unique_ptr<offer_ranking> make_offer_ranking() {
    return std::make_unique<offer_ranking_first_token>();
}

} // namespace pomelohoist
