#pragma once

#include "common/random_source.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Which endpoint gets a request. Answers uneven load: many entries place requests at once, and each one sees the load
/// of the others some milliseconds late.
namespace pomelohoist {

/// What is known of an endpoint when a request is placed.
struct endpoint_candidate {
    std::size_t index{0};    ///< position in the caller's list
    std::uint32_t active{0}; ///< requests of all entries
    std::uint32_t slots{1};  ///< requests that it processes at once
    std::uint32_t places{1}; ///< requests that it may hold, the waiting ones included
    bool in_cooldown{false}; ///< has failed a short time ago
    bool was_tried{false};   ///< by this request
    bool is_closed{false};   ///< its group does not serve at the moment

    friend bool operator==(const endpoint_candidate&, const endpoint_candidate&) = default;
};

struct endpoint_choice {
    std::optional<std::size_t> index; ///< of the candidate that was chosen
    bool is_full{false};              ///< nothing was chosen, but a place may come free
    bool is_closed{false};            ///< nothing was chosen, since no untried endpoint serves at the moment

    friend bool operator==(const endpoint_choice&, const endpoint_choice&) = default;
};

/// Takes one of the least loaded endpoints at random: taking exactly the least loaded would send what several entries
/// place at the same moment to one endpoint. An endpoint that has failed is used only when no other has a place.
endpoint_choice choose_endpoint(const std::vector<endpoint_candidate>& candidates, random_source& random);

/// @param slots requests that an endpoint processes at once
/// @param is_stream streams hold a place for seconds, so that waiting behind one costs the caller's goal
/// @returns requests that it may hold
std::uint32_t places_of(std::uint32_t slots, bool is_stream);

} // namespace pomelohoist
