#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "direct/crash_quarantine.h"
#include "direct/endpoint_list.h"
#include "direct/endpoint_prober.h"
#include "direct/peer_link.h"
#include "direct/routing_state.h"

#include <pomelohoist/clock.h>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

/// Finds crashes that were not visible when the connection of a run was lost.
namespace pomelohoist {

/// A run whose connection was lost while its endpoint still accepted connections.
struct unexplained_run {
    endpoint_record endpoint;
    lost_run run;
    bool is_response{false}; ///< seems complete and is the result of the request, if the endpoint has not crashed
    steady_time lost_at;
    std::size_t probes{0}; ///< since then

    friend bool operator==(const unexplained_run&, const unexplained_run&) = default;
};

/// @returns true when the endpoint has started again: its address or instance is registered with a later start
bool has_restarted(const endpoint_record& endpoint, const endpoint_list& current);

/// A process may close its connections before its port, and a supervisor may hold the port and start the process anew
/// at once. The port is therefore checked again after `config::lost_run_probes`, and for `config::lost_run_memory`
/// a later start in the endpoint list counts as a crash. Thread-safe.
class lost_run_monitor {
  public:
    lost_run_monitor(endpoint_prober& endpoints, const routing_state& current_state, crash_quarantine& known_crashes,
                     peer_link& link, const clock& time_source, structured_log& process_log,
                     metrics_registry& process_metrics);
    ~lost_run_monitor();
    lost_run_monitor(const lost_run_monitor&) = delete;
    lost_run_monitor& operator=(const lost_run_monitor&) = delete;

    void watch(const unexplained_run& lost);
    /// Checks the watched runs once; called by the monitor's thread.
    void check();

  private:
    void check_loop();
    /// @returns true when the run has been explained: its endpoint has crashed, or runs on
    bool explain(unexplained_run& watched);
    void record_crash(const unexplained_run& watched, const char* evidence);

    endpoint_prober& prober;
    const routing_state& state;
    crash_quarantine& crashes;
    peer_link& peers;
    const clock& time;
    structured_log& log;
    metrics_registry& metrics;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<unexplained_run> runs;
    bool stopping{false};
    std::thread thread; ///< last: uses all other members
};

} // namespace pomelohoist
