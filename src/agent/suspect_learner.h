#pragma once

#include "agent/suspect_list.h"
#include "spread/configuration_source.h"

#include <string>

/// Fetches the suspects that a starting agent has forgotten from the agents that serve the same.
namespace pomelohoist {

class suspect_learner {
  public:
    /// @param endpoint_name declared name of the own endpoint
    suspect_learner(const configuration_source& configurations, std::string process_name, std::string endpoint_name,
                    suspect_list& known_suspects);

    /// Asks peers, for at most two seconds, and marks the list as complete. Does nothing before there is a
    /// configuration that names the peers.
    void learn();

  private:
    const configuration_source& source;
    std::string name;
    std::string own_endpoint;
    suspect_list& suspects;
};

} // namespace pomelohoist
