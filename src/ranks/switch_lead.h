#pragma once

#include <chrono>
#include <cstdint>

/// Number of steps by which a map switch is scheduled ahead.
namespace pomelohoist {

/// Pace of a group and of its coordinator just before a switch.
struct switch_pace {
    std::chrono::duration<double, std::milli> arming_time{0.0}; ///< expected time until all ranks are armed
    std::chrono::duration<double, std::milli> observed{0.0};    ///< time in which the steps were counted
    std::uint64_t begun_steps{0};                               ///< steps that began in that time

    friend bool operator==(const switch_pace&, const switch_pace&) = default;
};

/// @param limit largest result
/// @returns number of steps from the current step to the target step, so that arming ends before the target step
std::uint64_t choose_lead(const switch_pace& pace, std::uint64_t limit);

} // namespace pomelohoist
