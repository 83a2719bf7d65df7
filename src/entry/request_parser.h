#pragma once

#include "common/random_source.h"
#include "declaration/configuration.h"
#include "entry/entry_request.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <string>

namespace pomelohoist {

/// Validates callers' requests against the current configuration. Uses no sockets.
class request_parser {
  public:
    request_parser(const clock& time_source, random_source& ids);

    /// @param arrived time at which the header had been read; the deadline is counted from this time
    /// @param request_id as returned by `choose_request_id`
    /// @returns the request, or the reason for its refusal
    result<entry_request> parse(const raw_request& raw, const configuration& declared, const std::string& request_id,
                                steady_time arrived);

    /// @returns the caller's `X-Request-Id` when it is short and printable, otherwise a random one
    std::string choose_request_id(const raw_request& raw);

  private:
    const clock& time;
    random_source& random;
};

} // namespace pomelohoist
