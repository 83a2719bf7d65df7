#pragma once

#include "common/random_source.h"

#include <pomelohoist/routing.h>

#include <atomic>
#include <cstddef>
#include <vector>

/// Baselines that the default policy is compared with. Each returns up to `routing_query::limit` endpoints.
namespace pomelohoist {

/// Picks random endpoints.
class candidate_policy_random : public candidate_policy {
  public:
    explicit candidate_policy_random(random_source& source) : random(source) {}
    std::vector<endpoint_handle> pick(const routing_query& query,
                                      const std::vector<routing_candidate>& reachable) override;

  private:
    random_source& random;
};

/// Picks the endpoints in turn.
class candidate_policy_round_robin : public candidate_policy {
  public:
    std::vector<endpoint_handle> pick(const routing_query& query,
                                      const std::vector<routing_candidate>& reachable) override;

  private:
    std::atomic<std::size_t> next{0};
};

/// Picks the endpoints with the lowest reported load; ties are broken at random.
class candidate_policy_least_loaded : public candidate_policy {
  public:
    explicit candidate_policy_least_loaded(random_source& source) : random(source) {}
    std::vector<endpoint_handle> pick(const routing_query& query,
                                      const std::vector<routing_candidate>& reachable) override;

  private:
    random_source& random;
};

/// For each pick, compares two random endpoints and takes the one with the lower reported load.
class candidate_policy_two_choices : public candidate_policy {
  public:
    explicit candidate_policy_two_choices(random_source& source) : random(source) {}
    std::vector<endpoint_handle> pick(const routing_query& query,
                                      const std::vector<routing_candidate>& reachable) override;

  private:
    random_source& random;
};

} // namespace pomelohoist
