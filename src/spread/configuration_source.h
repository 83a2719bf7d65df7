#pragma once

#include "declaration/configuration.h"
#include "inner/messages.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cstdint>
#include <string>
#include <vector>

/// Interface between the propagation of configuration and the rest of a daemon.
namespace pomelohoist {

class configuration_source {
  public:
    virtual ~configuration_source() = default;
    /// @returns the configuration in force; version 0 before the first one was received
    [[nodiscard]] virtual configuration_ptr current() const = 0;
    /// Pulls and applies the newer state of the peer. Returns at once when this process has at least `version`.
    /// @returns done, or the failure of the pull
    virtual result<done> pull_from(const net_address& peer, std::uint64_t version) = 0;
    /// @returns true when the platform lists this host as leaving
    [[nodiscard]] virtual bool is_leaving(const std::string& host) const = 0;
    [[nodiscard]] virtual std::uint64_t host_list_version() const = 0;

    /// Responds to a peer's announcement; pulls in the background when the peer has a newer version.
    virtual inner::announce_response handle_announce(const inner::announce& received) = 0;
    /// @returns everything newer than the versions in the request of a peer
    virtual inner::pull_response handle_pull(const inner::pull_request& received) = 0;
};

} // namespace pomelohoist
