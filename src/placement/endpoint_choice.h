#pragma once

#include "common/random_source.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Selects the endpoint of a request and avoids uneven load: many entries place requests at the same time, and each
/// entry receives the load of the others some milliseconds late.
namespace pomelohoist {

/// State of an endpoint when a request is placed.
struct endpoint_candidate {
    std::size_t index{0};      ///< position in the caller's list
    std::uint32_t active{0};   ///< requests in progress, from all entries
    std::uint32_t slots{1};    ///< requests that the endpoint processes at once
    std::uint32_t capacity{1}; ///< requests that the endpoint may hold, including those that wait there
    bool in_cooldown{false};   ///< has recently failed or refused a request
    bool was_tried{false};     ///< this request was sent to the endpoint before
    bool is_closed{false};     ///< the endpoint's group does not serve at the moment and is being formed again
    bool is_limited{false};    ///< its rate limit allows no further request at the moment
    std::chrono::milliseconds pause_left{0};   ///< remaining time in which the endpoint wants no requests
    std::chrono::microseconds reading_time{0}; ///< time that the endpoint needs to read the prompts that wait there

    friend bool operator==(const endpoint_candidate&, const endpoint_candidate&) = default;
};

struct endpoint_choice {
    std::optional<std::size_t> index; ///< `index` of the selected candidate; empty when none was selected
    bool is_full{false};   ///< none was selected, but an untried endpoint without a pause may get free capacity
    bool is_closed{false}; ///< none was selected, because the groups of all untried endpoints are closed
    std::chrono::milliseconds pause_left{0}; ///< the shortest pause, when all endpoints want one; otherwise zero

    friend bool operator==(const endpoint_choice&, const endpoint_choice&) = default;
};

/// Selects one of the least loaded endpoints at random: if entries always selected the single least loaded endpoint,
/// all requests placed at the same moment would go to the same endpoint. An endpoint in cooldown is selected only when
/// no other endpoint has capacity. Among endpoints of similar load, those are selected at which the prompt of the
/// request is read soonest.
endpoint_choice choose_endpoint(const std::vector<endpoint_candidate>& candidates, random_source& random);

/// @param slots requests that an endpoint processes at once
/// @param is_stream true for streams: these occupy a slot for seconds, so that a request that waits behind a stream may
/// miss its latency target
/// @returns requests that the endpoint may hold, including those that wait there
std::uint32_t capacity_of(std::uint32_t slots, bool is_stream);

} // namespace pomelohoist
