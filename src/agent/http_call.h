#pragma once

#include "agent/endpoint_driver.h"

/// HTTP exchanges with the endpoint, each on a separate connection.
namespace pomelohoist {

/// Sends the request once, without retries.
/// @returns `refused` only when nothing was sent
endpoint_report run_http(const net_address& target, const endpoint_request& request, endpoint_sink& sink,
                         abort_signal& signal);

/// Requests GET /health.
/// @returns the JSON field `boot_id` of a response with status 200, or `not_ready`
result<endpoint_health> check_http_health(const net_address& target);

} // namespace pomelohoist
