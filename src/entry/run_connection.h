#pragma once

#include "entry/attempt_log.h"
#include "inner/frame_channel.h"
#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <cstdint>
#include <optional>
#include <string>

/// One run of one ticket over its own connection.
namespace pomelohoist {

/// Receives the parts of a response.
class run_consumer {
  public:
    virtual ~run_consumer() = default;
    /// @returns done, or the reason to abort the run
    virtual result<done> on_head(const inner::run_head& head) = 0;
    virtual result<done> on_data(const std::string& data) = 0;
    /// Called after the end record has been checked.
    virtual result<done> on_end() = 0;
};

/// How a run ended.
enum class run_ending : std::uint8_t {
    complete,      ///< end record with the right chunk count
    not_connected, ///< no connection, so nothing was sent
    refused,       ///< the agent refused the ticket
    failed,        ///< the agent ended the run early
    agent_lost,    ///< the connection broke before the end record
    malformed,     ///< wrong ticket, chunk number, count or message
    timed_out,     ///< no end record before the deadline
    aborted,       ///< the consumer rejected the response, or the caller disconnected
    count
};

struct run_report {
    run_ending ending{run_ending::not_connected};
    failure reason;
    bool only_queued{false}; ///< the agent's last progress message said queued, not started; no proof of "not run"

    friend bool operator==(const run_report&, const run_report&) = default;
};

/// @returns true when the run was aborted because its caller disconnected
bool is_caller_disconnected(const run_report& report);

class run_connection {
  public:
    /// @param process_name sent with each packet
    run_connection(const clock& time_source, std::string process_name);

    /// Connects to the agent.
    result<done> open(const net_address& agent, steady_time deadline);
    /// Sends the run request and forwards its response to the consumer.
    /// @param log records what was sent and refused, which decides whether "not run" is proved
    /// @attention must be called after `open`
    run_report run(const inner::run_request& request, run_consumer& consumer, attempt_log& log, steady_time deadline);
    /// Closes the connection at once; safe for any thread.
    void abort();

  private:
    run_report read_response(const ticket& granted, run_consumer& consumer, attempt_log& log, steady_time deadline);

    const clock& time;
    std::string name;
    std::optional<inner::frame_channel> channel;
};

} // namespace pomelohoist
