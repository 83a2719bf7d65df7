#include "agent/operator_service.h"

namespace pomelohoist {

operator_service::operator_service(agent_handler& served_agent, metrics_registry& agent_metrics)
    : agent(served_agent), metrics(agent_metrics) {
    this->metrics.add_gauge("agent_queue_length", [this] { return static_cast<double>(this->agent.status().queued); });
    this->metrics.add_gauge("agent_running_requests",
                            [this] { return static_cast<double>(this->agent.status().running); });
    this->metrics.add_gauge("agent_suspects", [this] { return static_cast<double>(this->agent.suspect_count()); });
    this->metrics.add_gauge("agent_draining", [this] { return this->agent.status().draining ? 1.0 : 0.0; });
}

void operator_service::serve(const raw_request& /*raw*/, steady_time /*arrived*/, response_sink& caller) {
    caller.send_failure({{error_kind::not_found, "an agent serves /healthz, /readyz and /metrics"}, std::nullopt, {}});
}

void operator_service::refuse(const raw_request& /*raw*/, const failure& reason, response_sink& caller) {
    caller.send_failure({reason, std::nullopt, {}});
}

bool operator_service::is_ready() const {
    const inner::status_response status = this->agent.status();
    return status.healthy && !status.draining && status.configuration_version != 0;
}

} // namespace pomelohoist
