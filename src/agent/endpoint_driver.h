#pragma once

#include "agent/abort_signal.h"
#include "inner/messages.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Gives work to the endpoint beside the agent.
namespace pomelohoist {

/// An HTTP request to the endpoint.
struct endpoint_request {
    std::string method;
    std::string path;
    std::vector<inner::header_field> headers;
    std::string body;

    friend bool operator==(const endpoint_request&, const endpoint_request&) = default;
};

/// Receives the answer while it arrives.
class endpoint_sink {
  public:
    virtual ~endpoint_sink() = default;
    /// The endpoint is connected; from now on the request may have run.
    virtual void on_send() = 0;
    /// @returns false to abort the run
    virtual bool on_head(std::uint16_t status, const std::vector<inner::header_field>& headers) = 0;
    /// @returns false to abort the run
    virtual bool on_data(std::string_view data) = 0;
};

enum class run_outcome : std::uint8_t {
    completed, ///< the whole answer was received
    refused,   ///< nothing was sent: the request was not run
    broken,    ///< the request was sent, at least in part, and its answer is missing or incomplete
    aborted,   ///< ended by the sink or by the signal
    count
};

struct endpoint_report {
    run_outcome outcome{run_outcome::refused};
    std::string reason;

    friend bool operator==(const endpoint_report&, const endpoint_report&) = default;
};

struct endpoint_health {
    std::string boot_id; ///< differs after a restart of the endpoint; empty when it tells none

    friend bool operator==(const endpoint_health&, const endpoint_health&) = default;
};

/// @attention is called by several threads at once
class endpoint_driver {
  public:
    virtual ~endpoint_driver() = default;
    /// Sends the request once and passes the answer on. Never repeats it.
    virtual endpoint_report run(const endpoint_request& request, endpoint_sink& sink, abort_signal& signal) = 0;
    /// @returns the health, or `not_ready` when the endpoint does not answer that it is well
    virtual result<endpoint_health> check_health() = 0;
};

/// Driver of a model engine: also demands the end mark of event streams.
std::unique_ptr<endpoint_driver> make_model_driver(const net_address& target);
/// Driver of a plain service.
std::unique_ptr<endpoint_driver> make_service_driver(const net_address& target);

} // namespace pomelohoist
