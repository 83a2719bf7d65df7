#pragma once

#include "entry/entry_request.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

/// Reads callers' requests within the limits of config.h.
namespace pomelohoist {

/// @returns method, target and headers
raw_request read_header(const Poco::Net::HTTPServerRequest& request);

/// Reads the body into `raw`.
/// @returns done, or `header_too_large`, `payload_too_large`, `request_timeout` or `bad_request`
result<done> read_body(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                       const clock& time, raw_request& raw);

/// Reads a body with Content-Length or with chunked encoding into `raw`.
/// @param max_bytes limit of a chunked body; the limit of a body with Content-Length is `config::max_body_bytes`
/// @returns done, or the same errors as `read_body`
result<done> read_any_body(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                           std::uint64_t max_bytes, const clock& time, raw_request& raw);

} // namespace pomelohoist
