#include "placement/endpoint_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohoist {

namespace {

// An endpoint may have one waiting stream per this number of slots, and at least one. With 12 slots and streams of 2 s
// each, the first waiting request waits about 170 ms and the second 330 ms: both waits are within a latency target of
// 400 ms.
constexpr std::uint32_t slots_per_waiting_stream = 6;

// A wait of this length is about 1% of a latency target of 400 ms, and entries learn of each other's prompts no sooner.
constexpr std::chrono::milliseconds negligible_wait{5};

// A short prompt may be sent to an endpoint whose load, as a share of its slots, is above the least load by less than
// this: requests that run beside a stream delay each of its tokens, while a long prompt delays the first event only.
constexpr double max_load_difference = 0.25;

double load_of(const endpoint_candidate& candidate) {
    return static_cast<double>(candidate.active) / std::max(candidate.slots, 1U);
}

bool has_capacity(const endpoint_candidate& candidate) {
    return !candidate.was_tried && !candidate.is_closed && !candidate.is_limited &&
           candidate.pause_left <= std::chrono::milliseconds{0} && candidate.active < candidate.capacity;
}

bool is_read_at_once(const endpoint_candidate* candidate) {
    return candidate->reading_time <= negligible_wait;
}

/// Removes the candidates at which a prompt would wait for longer prompts, unless all would let it wait.
/// @param open candidates with capacity, not empty
void keep_soonest_of_least_loaded(std::vector<const endpoint_candidate*>& open) {
    const auto least = std::min_element(
        open.begin(), open.end(), [](const auto* left, const auto* right) { return load_of(*left) < load_of(*right); });
    const double least_load = load_of(**least);
    const double one_request = 1.0 / std::max((*least)->slots, 1U);
    // The load of the selected endpoints is above the least load by less than one request.
    std::vector<const endpoint_candidate*> kept;
    std::copy_if(open.begin(), open.end(), std::back_inserter(kept),
                 [=](const auto* candidate) { return load_of(*candidate) < least_load + one_request; });
    if (std::none_of(kept.begin(), kept.end(), is_read_at_once)) {
        // Endpoints that read long prompts get fewer requests and soon are the least loaded, so that prompts are read
        // at once elsewhere only. An endpoint without a free slot would make the request wait for one, though.
        const double bound = least_load + std::max(max_load_difference, 2 * one_request);
        std::copy_if(open.begin(), open.end(), std::back_inserter(kept), [=](const auto* candidate) {
            const double load = load_of(*candidate);
            return load >= least_load + one_request && load < bound && candidate->active < candidate->slots;
        });
    }
    const auto* soonest = *std::min_element(kept.begin(), kept.end(), [](const auto* left, const auto* right) {
        return left->reading_time < right->reading_time;
    });
    const std::chrono::microseconds bound = soonest->reading_time + negligible_wait;
    std::erase_if(kept, [bound](const auto* candidate) { return candidate->reading_time > bound; });
    open = std::move(kept);
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
    keep_soonest_of_least_loaded(open);
    return {open[random.next_below(open.size())]->index, false};
}

} // namespace pomelohoist
