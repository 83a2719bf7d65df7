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
    /// @param endpoint_name declared name of this agent's endpoint
    peer_suspect_publisher(inner::datagram_endpoint& datagram_sender, const configuration_source& configurations,
                           std::string endpoint_name);

    void publish(const inner::suspect_report& report) override;

  private:
    inner::datagram_endpoint& sender;
    const configuration_source& source;
    std::string own_name;
};

/// @returns the agents of the other endpoints that serve the same model or service
std::vector<net_address> agents_of_same_service(const configuration& declared, const std::string& own_name);

/// Splits a report so that each part fits into one datagram. Each run is in exactly one part.
std::vector<inner::suspect_report> split_report(const inner::suspect_report& report);

} // namespace pomelohoist
