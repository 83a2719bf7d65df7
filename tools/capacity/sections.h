#pragma once

#include "capacity/measurement.h"

#include <string>

/// The parts of the capacity measurement. Each starts its own processes and ends them.
namespace pomelohoist::capacity {

/// Where programs are found, and where settings and logs go.
struct workplace {
    std::string binaries;
    std::string folder;

    friend bool operator==(const workplace&, const workplace&) = default;
};

/// Memory for each declared workspace and endpoint, start-up of a replaced process, an operator's command.
void measure_declared_size(const workplace& place, report& table);
/// Memory of entry and agent after one change that declares everything, in several runs.
void measure_large_change(const workplace& place, report& table);
/// Processor time of requests, reserves, chunks, announcements, deltas and snapshots; store use of keyed requests.
void measure_requests(const workplace& place, report& table);
/// Time for a change to be in force everywhere, between spreaders of this process.
void measure_propagation(report& table);
/// Store use and idle cost of real processes; a change while one data centre is frozen.
void measure_processes(const workplace& place, report& table);
/// Failover and store use of a lease; planning time of a coordinator.
void measure_coordinator(const workplace& place, report& table);

} // namespace pomelohoist::capacity
