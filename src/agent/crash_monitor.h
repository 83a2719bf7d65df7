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

/// Notices the death of the endpoint's process and names the requests that were in flight.
namespace pomelohoist {

/// Tells other agents about suspects.
class suspect_publisher {
  public:
    virtual ~suspect_publisher() = default;
    /// Returns when all have acknowledged, or after `config::suspect_publish_timeout`.
    virtual void publish(const inner::suspect_report& report) = 0;
};

/// Whether the endpoint can take work.
class endpoint_state {
  public:
    virtual ~endpoint_state() = default;
    [[nodiscard]] virtual bool is_ready() const = 0;
};

class crash_monitor : public endpoint_state {
  public:
    /// @param event_prefix makes the event ids of this process unique
    crash_monitor(endpoint_driver& endpoint, suspect_list& own_suspects, suspect_publisher& others,
                  std::string event_prefix, structured_log& log_target);

    /// @returns true while the last health checks were good; false before the first one
    [[nodiscard]] bool is_ready() const override { return this->ready; }

    /// The request is about to be sent to the endpoint.
    void begin_run(const ticket& id, const std::string& digest);
    void end_run(const ticket& id);

    /// Finds out whether the endpoint died under a run; called between `begin_run` and `end_run`.
    /// @param was_aborted the run was ended by this agent, so its break alone is no sign of a death
    /// @returns true when it died; the suspects are published then
    bool run_broken(const ticket& id, bool was_aborted);

    /// The endpoint refused a connection: not ready until a health check is good.
    void connection_refused() { this->ready = false; }

    /// One periodic health check.
    void check();

  private:
    struct flight {
        std::string digest;
        std::uint64_t generation{0};
    };

    bool is_dead_now(int looks);
    void handle_death(const std::string& next_boot_id);
    std::vector<inner::suspected_run> end_generation();

    endpoint_driver& driver;
    suspect_list& suspects;
    suspect_publisher& publisher;
    std::string prefix;
    structured_log& log;
    std::atomic<bool> ready{false};

    /// Held while a death is examined and published, so that all its runs wait for the same report.
    std::mutex examination;
    std::string boot_id;
    std::uint32_t failed_checks{0};

    std::mutex mutex;
    std::map<ticket, flight> flights;
    std::uint64_t generation{1}; ///< counts the lives of the endpoint that this agent has seen
};

} // namespace pomelohoist
