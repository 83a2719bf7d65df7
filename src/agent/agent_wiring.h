#pragma once

#include "common/daemon.h"
#include "inner/peer_listener.h"
#include "spread/configuration_source.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// The parts of the agent that other packages implement.
namespace pomelohoist {

/// What a configuration source is made from.
struct source_setup {
    const daemon_context& context;
    inner::peer_listener& listener; ///< bound; started after the source is made
    std::string process_name;
    std::string data_centre;
    std::vector<net_address> seeds;
    net_address platform;
};

using source_maker = std::function<result<std::unique_ptr<configuration_source>>(const source_setup&)>;

/// @returns the source, running, that stops when it is destroyed
result<std::unique_ptr<configuration_source>> make_configuration_source(const source_setup& setup);

} // namespace pomelohoist
