#pragma once

#include "agent/suspect_list.h"
#include "spread/configuration_source.h"

#include <string>

/// Loads crash suspects at the start of an agent from the agents that serve the same model or service.
namespace pomelohoist {

class suspect_loader {
  public:
    /// @param endpoint_name declared name of this agent's endpoint
    suspect_loader(const configuration_source& configurations, std::string process_name, std::string endpoint_name,
                   suspect_list& known_suspects);

    /// Queries peers, for at most two seconds, and marks the list as complete. Does nothing before a configuration with
    /// the peers is available.
    void load_from_peers();

  private:
    const configuration_source& source;
    std::string name;
    std::string own_endpoint;
    suspect_list& suspects;
};

} // namespace pomelohoist
