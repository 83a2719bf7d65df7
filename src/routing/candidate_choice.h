#pragma once

#include "common/random_source.h"

#include <pomelohoist/routing.h>

#include <cstddef>
#include <vector>

/// Functions that several candidate policies use.
namespace pomelohoist {

/// @returns the candidates that are not in cooldown, or all candidates when all are in cooldown
std::vector<routing_candidate> without_cooldown(const std::vector<routing_candidate>& reachable);

/// Moves `number` randomly picked candidates to the front.
void shuffle_front(std::vector<routing_candidate>& candidates, std::size_t number, random_source& random);

/// @returns the handles of the first `limit` candidates
std::vector<endpoint_handle> first_handles(const std::vector<routing_candidate>& candidates, std::size_t limit);

} // namespace pomelohoist
