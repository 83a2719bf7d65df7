#include "placement/endpoint_choice.h"

#include <algorithm>

namespace pomelohoist {

namespace {

// An endpoint may have one waiting stream per this number of slots, and at least one. With 12 slots and streams of 2 s
// each, the first waiting request waits about 170 ms and the second 330 ms: both waits are within a latency target of
// 400 ms.
constexpr std::uint32_t slots_per_waiting_stream = 6;

double load_of(const endpoint_candidate& candidate) {
    return static_cast<double>(candidate.active) / std::max(candidate.slots, 1U);
}

bool has_capacity(const endpoint_candidate& candidate) {
    return !candidate.was_tried && !candidate.is_closed && !candidate.is_limited &&
           candidate.pause_left <= std::chrono::milliseconds{0} && candidate.active < candidate.capacity;
}

/// @returns why no endpoint was selected
endpoint_choice explain_none(const std::vector<endpoint_candidate>& candidates) {
    endpoint_choice none;
    if (candidates.empty()) {
        return none;
    }
    none.is_closed = true;
    none.pause_left = candidates.front().pause_left;
    for (const endpoint_candidate& candidate : candidates) {
        none.is_full = none.is_full || !(candidate.was_tried || candidate.pause_left > std::chrono::milliseconds{0});
        none.is_closed = none.is_closed && (candidate.was_tried || candidate.is_closed);
        none.pause_left = std::min(none.pause_left, candidate.pause_left);
    }
    none.is_closed = none.is_closed && none.is_full;
    return none;
}

} // namespace

std::uint32_t capacity_of(std::uint32_t slots, bool is_stream) {
    return is_stream ? slots + std::max(slots / slots_per_waiting_stream, 1U) : slots * 2;
}

endpoint_choice choose_endpoint(const std::vector<endpoint_candidate>& candidates, random_source& random) {
    std::vector<const endpoint_candidate*> open;
    for (const bool in_cooldown : {false, true}) {
        for (const endpoint_candidate& candidate : candidates) {
            if (candidate.in_cooldown == in_cooldown && has_capacity(candidate)) {
                open.push_back(&candidate);
            }
        }
        if (!open.empty()) {
            break;
        }
    }
    if (open.empty()) {
        return explain_none(candidates);
    }
    const auto least = std::min_element(
        open.begin(), open.end(), [](const auto* left, const auto* right) { return load_of(*left) < load_of(*right); });
    // Chooses at random among the endpoints whose load is above the least load by less than one request.
    const double bound = load_of(**least) + 1.0 / std::max((*least)->slots, 1U);
    std::erase_if(open, [bound](const auto* candidate) { return load_of(*candidate) >= bound; });
    return {open[random.next_below(open.size())]->index, false};
}

} // namespace pomelohoist
