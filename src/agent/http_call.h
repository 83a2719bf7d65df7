#pragma once

#include "agent/endpoint_driver.h"

/// One HTTP exchange with the endpoint, on a connection of its own.
namespace pomelohoist {

/// Sends the request once.
/// @returns `refused` only when no connection was made
endpoint_report run_http(const net_address& target, const endpoint_request& request, endpoint_sink& sink,
                         abort_signal& signal);

/// Asks GET /health for status 200 and the JSON field `boot_id`.
result<endpoint_health> check_http_health(const net_address& target);

} // namespace pomelohoist
