#pragma once

#include "agent/agent_wiring.h"
#include "common/daemon.h"

#include <memory>

/// The agent process, which runs on the host of an endpoint and forwards requests to it.
namespace pomelohoist {

class agent_daemon_factory : public daemon_factory {
  public:
    explicit agent_daemon_factory(configuration_source_factory source_factory)
        : create_source(std::move(source_factory)) {}

    [[nodiscard]] settings_schema schema() const override;
    std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) override;

  private:
    configuration_source_factory create_source;
};

} // namespace pomelohoist
