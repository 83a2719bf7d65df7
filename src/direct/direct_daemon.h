#pragma once

#include "common/daemon.h"
#include "direct/control_store.h"
#include "direct/header_names.h"

#include <memory>
#include <string>
#include <vector>

/// The entry process for direct forwarding: requests go straight to endpoints, which run no agents.
namespace pomelohoist {

/// Connects direct forwarding to a platform.
class direct_platform {
  public:
    virtual ~direct_platform() = default;
    /// @returns schema of the platform's settings, which are added to those of the entry
    [[nodiscard]] virtual settings_schema schema() const = 0;
    [[nodiscard]] virtual const header_names& headers() const = 0;
    virtual std::unique_ptr<control_store> connect_store(const settings& checked, structured_log& log) = 0;
    /// @returns inner addresses of processes to contact before any peer is known
    [[nodiscard]] virtual std::vector<net_address> seeds(const settings& checked) const = 0;
};

class direct_daemon_factory : public daemon_factory {
  public:
    explicit direct_daemon_factory(direct_platform& connector) : platform(connector) {}
    [[nodiscard]] settings_schema schema() const override;
    std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) override;

  private:
    direct_platform& platform;
};

} // namespace pomelohoist
