#pragma once

#include "agent/agent_handler.h"
#include "entry/http_server.h"

#include <string>

/// HTTP service for operators and metrics scrapers: /healthz, /readyz and /metrics of the shared HTTP server.
namespace pomelohoist {

class operator_service : public http_service {
  public:
    /// Registers gauges for queue length, running requests, suspects and draining.
    /// @attention both arguments must outlive the service
    operator_service(agent_handler& served_agent, metrics_registry& agent_metrics);

    /// Responds with `not_found`: an agent accepts requests from entries only, not over HTTP.
    void serve(const raw_request& raw, steady_time arrived, response_sink& caller) override;
    void refuse(const raw_request& raw, const failure& reason, response_sink& caller) override;
    /// @returns true when the agent would grant tickets
    [[nodiscard]] bool is_ready() const override;
    [[nodiscard]] std::string render_metrics() const override { return this->metrics.render(); }

  private:
    agent_handler& agent;
    metrics_registry& metrics;
};

} // namespace pomelohoist
