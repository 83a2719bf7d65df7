#pragma once

#include "agent/agent_wiring.h"
#include "common/daemon.h"

#include <memory>

/// The process beside an endpoint.
namespace pomelohoist {

class agent_daemon_factory : public daemon_factory {
  public:
    explicit agent_daemon_factory(source_maker maker) : make_source(std::move(maker)) {}

    [[nodiscard]] settings_schema schema() const override;
    std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) override;

  private:
    source_maker make_source;
};

} // namespace pomelohoist
