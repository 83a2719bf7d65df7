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

/// Sends requests to the agent's endpoint.
namespace pomelohoist {

/// An HTTP request to the endpoint.
struct endpoint_request {
    std::string method;
    std::string path;
    std::vector<inner::header_field> headers;
    std::string body;

    friend bool operator==(const endpoint_request&, const endpoint_request&) = default;
};

/// Receives the response while it arrives.
class endpoint_sink {
  public:
    virtual ~endpoint_sink() = default;
    /// Called after the connection to the endpoint is made; from this call on, the request may have run.
    virtual void on_send() = 0;
    /// @returns false to abort the run
    virtual bool on_head(std::uint16_t status, const std::vector<inner::header_field>& headers) = 0;
    /// @returns false to abort the run
    virtual bool on_data(std::string_view data) = 0;
};

enum class run_outcome : std::uint8_t {
    completed, ///< the full response was received
    refused,   ///< nothing was sent, so the request was not run
    broken,    ///< the request was sent, at least in part, and the response is missing or incomplete
    aborted,   ///< ended by the sink or by the abort signal
    count
};

struct endpoint_report {
    run_outcome outcome{run_outcome::refused};
    std::string reason;

    friend bool operator==(const endpoint_report&, const endpoint_report&) = default;
};

struct endpoint_health {
    std::string boot_id; ///< changes when the endpoint restarts; empty when the endpoint does not report an id

    friend bool operator==(const endpoint_health&, const endpoint_health&) = default;
};

/// @attention called by several threads at once
class endpoint_driver {
  public:
    virtual ~endpoint_driver() = default;
    /// Sends the request once and forwards the response to the sink. Never retries.
    virtual endpoint_report run(const endpoint_request& request, endpoint_sink& sink, abort_signal& signal) = 0;
    /// @returns the health, or `not_ready` when the endpoint does not respond or reports a failure
    virtual result<endpoint_health> check_health() = 0;
};

/// Driver of a model engine. Treats an event stream without its end mark as broken.
std::unique_ptr<endpoint_driver> make_model_driver(const net_address& target);
/// Driver of a plain service.
std::unique_ptr<endpoint_driver> make_service_driver(const net_address& target);

} // namespace pomelohoist
