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

/// Construction of the configuration source of an agent. Tests replace it.
namespace pomelohoist {

/// Arguments for the construction of a configuration source.
struct source_setup {
    const daemon_context& context;
    inner::peer_listener& listener; ///< bound; started after the source is created
    std::string process_name;
    std::string data_centre;
    std::vector<net_address> seeds;
    net_address platform;
};

using configuration_source_factory = std::function<result<std::unique_ptr<configuration_source>>(const source_setup&)>;

/// @returns a running source; its destructor stops it
result<std::unique_ptr<configuration_source>> make_configuration_source(const source_setup& setup);

} // namespace pomelohoist
