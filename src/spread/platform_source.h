#pragma once

#include "common/daemon.h"
#include "inner/datagram_endpoint.h"
#include "platform/circuit_breaker.h"
#include "platform/guarded_table.h"
#include "platform/http_platform.h"
#include "spread/configuration_source.h"
#include "spread/configuration_spreader.h"
#include "spread/peer_set.h"

#include <pomelohoist/types.h>

#include <memory>
#include <vector>

/// Connects a daemon to the platform and to its peers.
namespace pomelohoist {

/// Addresses and identity for a `platform_source`.
struct platform_setup {
    net_address platform;
    spreader_identity identity;
    std::vector<net_address> seeds;
};

/// The platform's client, a circuit breaker in front of its table service, and the propagation of configuration.
class platform_source : public configuration_source {
  public:
    /// Starts the propagation.
    /// @param calls must outlive this object
    platform_source(const platform_setup& setup, const daemon_context& context, inner::datagram_endpoint& calls);
    ~platform_source() override;
    platform_source(const platform_source&) = delete;
    platform_source& operator=(const platform_source&) = delete;

    [[nodiscard]] configuration_ptr current() const override;
    result<done> pull_from(const net_address& peer, std::uint64_t version) override;
    [[nodiscard]] bool is_leaving(const std::string& host) const override;
    [[nodiscard]] std::uint64_t host_list_version() const override;
    inner::announce_response handle_announce(const inner::announce& received) override;
    inner::pull_response handle_pull(const inner::pull_request& received) override;

    /// @returns the table service behind the breaker, valid as long as this object
    [[nodiscard]] table_service& table();

  private:
    http_platform client;
    circuit_breaker breaker;
    guarded_table guarded;
    fixed_peers directory;
    configuration_spreader spreader;
};

} // namespace pomelohoist
