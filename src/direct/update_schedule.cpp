#include "direct/update_schedule.h"

#include <pomelohoist/config.h>

#include <algorithm>

namespace pomelohoist {

namespace {

std::chrono::milliseconds interval_for(std::size_t senders, double updates_per_second) {
    const std::chrono::duration<double> interval{static_cast<double>(senders) / updates_per_second};
    return std::chrono::duration_cast<std::chrono::milliseconds>(interval);
}

} // namespace

std::chrono::milliseconds load_update_interval(std::size_t entries) {
    // Never longer than the periodic update, which contains the load too.
    return std::min(interval_for(entries, config::load_updates_per_second), config::peer_update_interval);
}

std::chrono::milliseconds rank_update_interval(std::size_t processes) {
    return std::max(interval_for(processes, config::rank_updates_per_second), config::rank_update_interval);
}

bool is_succession_candidate(std::uint32_t rank) {
    return rank < config::coordinator_candidates;
}

} // namespace pomelohoist
