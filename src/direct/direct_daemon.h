#pragma once

#include "common/daemon.h"
#include "direct/control_store.h"
#include "direct/header_names.h"

#include <memory>
#include <string>
#include <vector>

/// The entry that forwards directly, without agents beside the endpoints.
namespace pomelohoist {

/// Connects direct forwarding to a platform.
class direct_platform {
  public:
    virtual ~direct_platform() = default;
    /// @returns keys of the settings that the platform needs, besides those of the entry
    [[nodiscard]] virtual settings_schema schema() const = 0;
    [[nodiscard]] virtual const header_names& headers() const = 0;
    virtual std::unique_ptr<control_store> connect_store(const settings& checked, structured_log& log) = 0;
    /// @returns inner addresses of processes that may answer before any other is known
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
