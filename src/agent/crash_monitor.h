#pragma once

#include "agent/endpoint_driver.h"
#include "agent/suspect_list.h"
#include "common/log.h"
#include "inner/messages.h"

#include <pomelohoist/types.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// Detects crashes of the endpoint's process and reports the requests that were in flight.
namespace pomelohoist {

/// Sends suspects to other agents.
class suspect_publisher {
  public:
    virtual ~suspect_publisher() = default;
    /// Returns when all agents have acknowledged the report, or after `config::suspect_publish_timeout`.
    virtual void publish(const inner::suspect_report& report) = 0;
};

/// Readiness of the endpoint.
class endpoint_state {
  public:
    virtual ~endpoint_state() = default;
    [[nodiscard]] virtual bool is_ready() const = 0;
};

class crash_monitor : public endpoint_state {
  public:
    /// @param event_prefix prefix of the event ids, unique for each agent process
    crash_monitor(endpoint_driver& endpoint, suspect_list& own_suspects, suspect_publisher& peer_publisher,
                  std::string event_prefix, structured_log& log_target);

    /// @returns true while recent health checks succeeded; false before the first check
    [[nodiscard]] bool is_ready() const override { return this->ready; }

    /// Records the request as in flight; called before it is sent to the endpoint.
    void begin_run(const ticket& id, const std::string& digest);
    void end_run(const ticket& id);

    /// Checks whether the endpoint crashed during the run; called between `begin_run` and `end_run`.
    /// @param was_aborted true when this agent aborted the run; the broken connection is then no sign of a crash, so
    /// the health check is not repeated
    /// @returns true when the endpoint crashed; its suspects have been published then
    bool on_run_broken(const ticket& id, bool was_aborted);

    /// Marks the endpoint as not ready until the next successful health check.
    void on_connection_refused() { this->ready = false; }

    /// Runs one periodic health check.
    void check();

  private:
    struct in_flight_run {
        std::string digest;
        std::uint64_t generation{0};
    };

    bool detect_crash(int max_checks);
    void handle_crash(const std::string& next_boot_id);
    std::vector<inner::suspected_run> end_generation();

    endpoint_driver& driver;
    suspect_list& suspects;
    suspect_publisher& publisher;
    std::string prefix;
    structured_log& log;
    std::atomic<bool> ready{false};

    /// Held while a crash is detected and published, so that all affected runs wait for the same report.
    std::mutex crash_check_mutex;
    std::string boot_id;
    std::uint32_t failed_checks{0};

    std::mutex mutex;
    std::map<ticket, in_flight_run> runs_in_flight;
    std::uint64_t generation{1}; ///< incremented at each detected crash of the endpoint
};

} // namespace pomelohoist
