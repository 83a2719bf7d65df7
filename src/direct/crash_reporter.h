#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "direct/crash_quarantine.h"
#include "direct/direct_request.h"
#include "direct/endpoint_prober.h"
#include "direct/lost_run_monitor.h"
#include "direct/peer_link.h"

#include <string>

/// Detects crashes of endpoints during a run and reports them to the other entries.
namespace pomelohoist {

/// Progress of a run when the endpoint closed its connection.
struct run_progress {
    bool has_begun{false};    ///< the head of the response had arrived
    std::uint64_t events{0};  ///< events of a stream that were forwarded
    bool is_complete{false};  ///< the response had no length and ended with the connection
    bool is_processed{false}; ///< the response is the result of the request, not an error of the endpoint

    friend bool operator==(const run_progress&, const run_progress&) = default;
};

class crash_reporter {
  public:
    crash_reporter(endpoint_prober& endpoints, crash_quarantine& known_crashes, lost_run_monitor& lost_runs,
                   peer_link& link, const clock& time_source, structured_log& process_log,
                   metrics_registry& process_metrics)
        : prober(endpoints), crashes(known_crashes), monitor(lost_runs), peers(link), time(time_source),
          log(process_log), metrics(process_metrics) {}

    void on_request(const direct_request& request) { this->crashes.record_request(request.fingerprint); }
    /// Called after a response that is the result of the request, or after `config::proven_events` events of a stream.
    void on_response(const direct_request& request);
    /// Called when an endpoint has closed the connection of a run; checks whether its process still runs, also after a
    /// response that appears complete.
    void on_lost_run(const direct_request& request, const endpoint_record& endpoint, const run_progress& progress);

    /// @returns true when the endpoint accepts connections
    [[nodiscard]] bool is_running(const endpoint_record& endpoint) {
        return this->prober.probe(endpoint.address) == endpoint_condition::listening;
    }
    /// @returns true when the request must not be sent to any endpoint
    [[nodiscard]] bool is_quarantined(const direct_request& request);
    /// @returns true when the request must not be retried after a crash
    [[nodiscard]] bool is_suspect(const direct_request& request) const {
        return this->crashes.is_suspect(request.fingerprint);
    }

  private:
    endpoint_prober& prober;
    crash_quarantine& crashes;
    lost_run_monitor& monitor;
    peer_link& peers;
    const clock& time;
    structured_log& log;
    metrics_registry& metrics;
};

} // namespace pomelohoist
