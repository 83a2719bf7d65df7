#pragma once

#include <pomelohoist/routing.h>

namespace pomelohoist {

/// Orders by expected first token, then cached prefix, then active requests.
class offer_ranking_first_token : public offer_ranking {
  public:
    [[nodiscard]] std::vector<std::size_t> rank(const std::vector<routing_offer>& offers) const override;
};

} // namespace pomelohoist
