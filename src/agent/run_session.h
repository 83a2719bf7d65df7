#pragma once

#include "agent/completed_responses.h"
#include "agent/crash_monitor.h"
#include "agent/endpoint_driver.h"
#include "agent/run_scheduler.h"
#include "agent/run_watch.h"
#include "agent/ticket_table.h"
#include "common/daemon.h"
#include "inner/frame_channel.h"
#include "inner/messages.h"
#include "lease/lease.h"
#include "spread/configuration_source.h"

/// Handling of one `run_request`: ticket check, queue, endpoint, response.
namespace pomelohoist {

/// Components that all runs of an agent share.
/// @attention all components must outlive the runs
struct run_parts {
    const daemon_context& context;
    ticket_table& tickets;
    run_scheduler& scheduler;
    completed_responses& responses;
    endpoint_driver& driver;
    crash_monitor& monitor;
    run_watch& watch;
    fencing_gate& fencing;
    const configuration_source& declarations;
};

/// Runs the request if its ticket allows it, and sends the response or the refusal.
void serve_run(const run_parts& parts, const inner::run_request& request, inner::frame_channel& channel);

/// @returns size of the request for the load model
request_size size_of(const inner::reserve_request& reservation);

/// @returns the queue item of a request
queue_item queue_item_of(const run_parts& parts, const inner::reserve_request& reservation, const ticket& id);

/// @returns remaining time of the request; a deadline of 0 means `config::default_request_deadline`
std::chrono::milliseconds time_left_of(const inner::reserve_request& reservation);

} // namespace pomelohoist
