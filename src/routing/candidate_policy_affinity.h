#pragma once

#include "common/random_source.h"

#include <pomelohoist/routing.h>

#include <vector>

namespace pomelohoist {

/// Picks up to `config::affinity_candidates` endpoints by rendezvous hashing of the prompt's prefix, the others at
/// random.
class candidate_policy_affinity : public candidate_policy {
  public:
    explicit candidate_policy_affinity(random_source& source) : random(source) {}
    std::vector<endpoint_handle> pick(const routing_query& query,
                                      const std::vector<routing_candidate>& reachable) override;

  private:
    random_source& random;
};

} // namespace pomelohoist
