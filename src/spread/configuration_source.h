#pragma once

#include "declaration/configuration.h"
#include "inner/messages.h"

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cstdint>
#include <string>
#include <vector>

/// What the rest of a daemon sees of the propagation of configuration.
namespace pomelohoist {

class configuration_source {
  public:
    virtual ~configuration_source() = default;
    /// @returns the configuration in force; version 0 before the first one has come
    [[nodiscard]] virtual configuration_ptr current() const = 0;
    /// Takes what the peer has, when it is newer. Returns at once when this process has at least `version`.
    /// @returns done, or the failure of the pull
    virtual result<done> pull_from(const net_address& peer, std::uint64_t version) = 0;
    /// @returns true when the platform says that this host leaves
    [[nodiscard]] virtual bool is_leaving(const std::string& host) const = 0;
    [[nodiscard]] virtual std::uint64_t host_list_version() const = 0;

    /// Answers a peer's announcement and, when the peer has more, pulls from it in the background.
    virtual inner::announce_response handle_announce(const inner::announce& received) = 0;
    /// Answers a peer that has less.
    virtual inner::pull_response handle_pull(const inner::pull_request& received) = 0;
};

} // namespace pomelohoist
