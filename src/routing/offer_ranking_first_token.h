#pragma once

#include <pomelohoist/routing.h>

namespace pomelohoist {

/// Ranks offers by expected time to the first token, then by longest cached prefix, then by fewest active requests.
class offer_ranking_first_token : public offer_ranking {
  public:
    [[nodiscard]] std::vector<std::size_t> rank(const std::vector<routing_offer>& offers) const override;
};

} // namespace pomelohoist
