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

/// Takes the pieces of an answer.
class run_consumer {
  public:
    virtual ~run_consumer() = default;
    /// @returns done, or why the run must be given up
    virtual result<done> take_head(const inner::run_head& head) = 0;
    virtual result<done> take_data(const std::string& data) = 0;
};

/// How a run ended.
enum class run_ending : std::uint8_t {
    whole,         ///< end record with the right count: the answer is complete
    not_connected, ///< no connection, so nothing was sent
    refused,       ///< the agent refused the ticket
    failed,        ///< the agent ended the run early
    agent_lost,    ///< the connection broke before the end record
    malformed,     ///< wrong ticket, chunk number, count or message
    timed_out,     ///< no end record before the deadline
    given_up,      ///< the consumer refused the answer
    count
};

struct run_report {
    run_ending ending{run_ending::not_connected};
    failure reason;
    bool only_queued{false}; ///< the agent told that the run waits, and not that it started; no proof of "not run"

    friend bool operator==(const run_report&, const run_report&) = default;
};

/// @returns true when the run was given up because its caller was gone
bool is_caller_gone(const run_report& report);

class run_connection {
  public:
    /// @param process_name sent with each packet
    run_connection(const clock& time_source, std::string process_name);

    /// Connects to the agent.
    result<done> open(const net_address& agent, steady_time until);
    /// Sends the run and passes its answer on.
    /// @param log is told about everything that bears on "not run"
    /// @attention after `open`
    run_report run(const inner::run_request& request, run_consumer& consumer, attempt_log& log, steady_time deadline);
    /// Breaks the connection; safe for any thread.
    void abort();

  private:
    run_report read_answer(const ticket& granted, run_consumer& consumer, attempt_log& log, steady_time deadline);

    const clock& time;
    std::string name;
    std::optional<inner::frame_channel> channel;
};

} // namespace pomelohoist
