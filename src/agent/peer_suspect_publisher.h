#pragma once

#include "agent/crash_monitor.h"
#include "inner/datagram_endpoint.h"
#include "spread/configuration_source.h"

#include <string>
#include <vector>

/// Sends suspects to the agents of all endpoints that serve the same model or service.
namespace pomelohoist {

class peer_suspect_publisher : public suspect_publisher {
  public:
    /// @param endpoint_name declared name of the own endpoint
    peer_suspect_publisher(inner::datagram_endpoint& sender, const configuration_source& configurations,
                           std::string endpoint_name);

    void publish(const inner::suspect_report& report) override;

  private:
    inner::datagram_endpoint& calls;
    const configuration_source& source;
    std::string own_name;
};

/// @returns the agents of the other endpoints that serve the same model or service
std::vector<net_address> agents_serving_same(const configuration& declared, const std::string& own_name);

/// Splits a report so that each part fits into one datagram. Each run is in one part only.
std::vector<inner::suspect_report> split_report(const inner::suspect_report& report);

} // namespace pomelohoist
