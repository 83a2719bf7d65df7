#pragma once

#include "common/daemon.h"
#include "entry/claim_access.h"
#include "inner/datagram_endpoint.h"
#include "spread/configuration_source.h"
#include "spread/member_registry.h"

#include <memory>

/// The process `pomelohoist-entry`.
namespace pomelohoist {

/// Services that the platform provides to an entry.
struct entry_platform {
    std::unique_ptr<configuration_source> configurations; ///< uses the datagram endpoint
    std::unique_ptr<claim_access> claims;
    std::unique_ptr<member_registry> registry; ///< started; may be null in tests
};

/// Addresses at which an entry serves.
struct entry_addresses {
    net_address inner;
    net_address http;

    friend bool operator==(const entry_addresses&, const entry_addresses&) = default;
};

/// Connects an entry to the platform.
class entry_platform_factory {
  public:
    virtual ~entry_platform_factory() = default;
    /// @param calls socket for announce messages and pulls, outlives the result
    virtual result<entry_platform> connect(const settings& checked, const daemon_context& context,
                                           inner::datagram_endpoint& calls, const entry_addresses& bound) = 0;
};

class entry_daemon_factory : public daemon_factory {
  public:
    /// @param connector must outlive the factory's daemons
    explicit entry_daemon_factory(entry_platform_factory& connector) : platform(connector) {}

    /// @returns schema of the keys http.address, inner.address, platform.address and peers.seeds
    [[nodiscard]] settings_schema schema() const override;
    std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) override;

  private:
    entry_platform_factory& platform;
};

} // namespace pomelohoist
