#include "routing/offer_ranking_first_token.h"

#include <algorithm>
#include <numeric>

namespace pomelohoist {

namespace {

bool is_better(const routing_offer& left, const routing_offer& right) {
    if (left.expected_first_token_ms != right.expected_first_token_ms) {
        return left.expected_first_token_ms < right.expected_first_token_ms;
    }
    if (left.cached_prefix_tokens != right.cached_prefix_tokens) {
        return left.cached_prefix_tokens > right.cached_prefix_tokens;
    }
    return left.active_requests < right.active_requests;
}

} // namespace

std::vector<std::size_t> offer_ranking_first_token::rank(const std::vector<routing_offer>& offers) const {
    std::vector<std::size_t> order(offers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&offers](std::size_t left, std::size_t right) { return is_better(offers[left], offers[right]); });
    return order;
}

} // namespace pomelohoist
