#pragma once

#include "capacity/measurement.h"

#include <string>

/// Sections of the capacity measurement. Each section starts and stops its own processes.
namespace pomelohoist::capacity {

/// Folders of the programs, and of the settings and logs of a run.
struct run_folders {
    std::string binaries;
    std::string work;

    friend bool operator==(const run_folders&, const run_folders&) = default;
};

/// Memory for each declared workspace and endpoint, start-up time of a restarted process, cost of an operator command.
void measure_declared_size(const run_folders& folders, report& table);
/// Memory of entry and agent after one change that declares everything, in several runs.
void measure_large_change(const run_folders& folders, report& table);
/// Processor time of requests, reserves, chunks, announcements, deltas and snapshots; store use of keyed requests.
void measure_requests(const run_folders& folders, report& table);
/// Time for a change to be in force everywhere, between spreaders of this process.
void measure_propagation(report& table);
/// Store use and idle cost of real processes; a change while one data centre is frozen.
void measure_processes(const run_folders& folders, report& table);
/// Failover and store use of a lease; planning time of a coordinator.
void measure_coordinator(const run_folders& folders, report& table);

} // namespace pomelohoist::capacity
