#pragma once

#include "declaration/configuration.h"
#include "entry/entry_request.h"
#include "inner/datagram_endpoint.h"

#include <pomelohoist/types.h>

namespace pomelohoist {

/// Reports a request whose agent was lost during its run to all agents that could run the request.
class suspect_reporter {
  public:
    explicit suspect_reporter(inner::datagram_endpoint& endpoint) : calls(endpoint) {}

    /// Reports and waits for the acknowledgements, at most `config::suspect_publish_timeout`.
    /// @param lost ticket of the run; its incarnation identifies the loss, so that several reports of one loss count
    /// once
    /// @returns number of agents that acknowledged
    std::size_t report(const entry_request& request, const ticket& lost, const configuration& declared);

  private:
    inner::datagram_endpoint& calls;
};

} // namespace pomelohoist
