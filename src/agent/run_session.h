#pragma once

#include "agent/completed_answers.h"
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

/// The conversation of one `run_request`: ticket, queue, endpoint, answer.
namespace pomelohoist {

/// What the runs of an agent share.
/// @attention all must outlive the runs
struct run_parts {
    const daemon_context& context;
    ticket_table& tickets;
    run_scheduler& scheduler;
    completed_answers& answers;
    endpoint_driver& driver;
    crash_monitor& monitor;
    run_watch& watch;
    fencing_gate& orders;
    const configuration_source& declarations;
};

/// Runs the request if its ticket allows it, and sends the answer or the refusal.
void serve_run(const run_parts& parts, const inner::run_request& request, inner::frame_channel& channel);

/// @returns size of a reservation for the load model
request_size size_of(const inner::reserve_request& reservation);

/// @returns the place in the queue that a request asks for
queue_item queue_item_of(const run_parts& parts, const inner::reserve_request& reservation, const ticket& id);

/// @returns time that is left for the request, with the default for 0
std::chrono::milliseconds time_left_of(const inner::reserve_request& reservation);

} // namespace pomelohoist
