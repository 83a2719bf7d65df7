#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "direct/control_store.h"
#include "direct/peer_link.h"
#include "direct/routing_state.h"

#include <pomelohoist/clock.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

/// Reads the platform's store on behalf of all processes.
namespace pomelohoist {

/// Every process can read the store; usually only the first live entry does, and the others hear of changes from it. A
/// process whose news grow stale reads for itself, the sooner the smaller its rank, so that a reader that stops, is cut
/// off or is refused by the store is replaced within the time in which a change must be in force.
class store_watcher {
  public:
    /// @param may_lead false for processes that only read the store when no entry tells them anything
    store_watcher(control_store& platform, peer_record own, bool may_lead, routing_state& in_force, peer_link& link,
                  const clock& time_source, structured_log& process_log, metrics_registry& metrics);
    ~store_watcher();
    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;

    void start();
    void stop();

  private:
    void follow_loop();
    /// Registers this process, reads everything once.
    void join();
    /// One round of reading.
    /// @returns false when the store did not answer as it should
    bool read_changes();
    bool read_routing();
    bool read_endpoints();
    bool apply(const endpoint_changes& changes);
    void replace_endpoints(const endpoint_snapshot& snapshot);
    /// Removes endpoints whose removal was put off while the store was not to be trusted.
    void remove_overdue();
    void publish();
    [[nodiscard]] std::chrono::milliseconds stale_after() const;
    [[nodiscard]] bool is_store_trusted() const;
    bool is_history_gone(const failure& reason, const char* followed);
    void note(const result<done>& outcome, const char* call);
    void pause(std::chrono::milliseconds duration);

    control_store& store;
    peer_record self;
    bool is_entry;
    routing_state& shared;
    peer_link& peers;
    const clock& time;
    structured_log& log;
    counter& calls;
    counter& failures;

    bool is_registered{false};
    bool is_reading{false};
    bool has_failed{false};
    std::optional<std::uint64_t> routing_revision;
    std::optional<std::uint64_t> endpoints_revision;
    std::map<std::string, endpoint_record> endpoints; ///< by instance, as this process read them
    std::map<std::string, steady_time> missing; ///< removed while the store was not to be trusted, and when to drop
    bool is_unpublished{false};                 ///< `endpoints` has changed since it was published
    std::optional<steady_time> last_failure;

    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::condition_variable stopped;
    std::thread thread;
};

} // namespace pomelohoist
