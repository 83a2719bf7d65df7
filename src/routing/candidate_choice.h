#pragma once

#include "common/random_source.h"

#include <pomelohoist/routing.h>

#include <cstddef>
#include <vector>

/// Steps that the candidate policies share.
namespace pomelohoist {

/// @returns the candidates that are not avoided, or all when every one is avoided
std::vector<routing_candidate> without_avoided(const std::vector<routing_candidate>& reachable);

/// Moves `number` random elements to the front.
void shuffle_front(std::vector<routing_candidate>& candidates, std::size_t number, random_source& random);

/// @returns the handles of the first `limit` candidates
std::vector<endpoint_handle> first_handles(const std::vector<routing_candidate>& candidates, std::size_t limit);

} // namespace pomelohoist
