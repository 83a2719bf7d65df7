#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "direct/control_store.h"
#include "direct/peer_link.h"
#include "direct/quarantine_keeper.h"
#include "direct/routing_state.h"

#include <pomelohoist/clock.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

/// Reads the platform's store for all processes.
namespace pomelohoist {

/// Reads the store when this process has to. Every process can read the store. Usually only the first live entry does,
/// and the other processes receive changes from that entry. A process whose routing state becomes stale reads the store
/// itself; entries that are earlier in the order of the live entries by name (`peer_link::rank_among_live`) wait less.
/// In this way, a reader that stops, becomes unreachable or is refused by the store is replaced within the time in
/// which a change must take effect.
class store_watcher {
  public:
    /// @param known_crashes null in processes that forward no requests
    /// @param stated null in the same processes
    /// @param is_entry_process true for entries; other processes read the store only when updates have stopped
    store_watcher(control_store& platform, peer_record own, bool is_entry_process, routing_state& current_state,
                  peer_link& link, crash_quarantine* known_crashes, endpoint_statements* stated,
                  const clock& time_source, structured_log& process_log, metrics_registry& metrics);
    ~store_watcher();
    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;

    void start();
    void stop();

  private:
    void watch_loop();
    /// @returns true when the store has no registration of this process, or may have lost it in a restore
    [[nodiscard]] bool must_register() const;
    /// Registers this process in the store, then reads its peers.
    void register_self();
    /// Reads the changes of endpoints and routing once.
    /// @returns false when a call of the store has failed
    bool read_changes();
    bool read_routing();
    bool read_endpoints();
    /// @param is_full true when the change contains all evacuations in force
    void apply_evacuations(const routing_change& change, bool is_full);
    /// Adopts the stored quarantines, at the start and then from time to time if this process is the reader. The reader
    /// also stores those that have begun or ended.
    void sync_quarantines(bool is_reader);
    void apply(const endpoint_changes& changes);
    void replace_endpoints(const endpoint_snapshot& snapshot);
    void record_cold(const std::vector<cold_endpoint>& cold);
    /// Passes the endpoints on as one reading of the store, exactly as it lists them.
    void publish();
    [[nodiscard]] std::chrono::milliseconds stale_after() const;
    [[nodiscard]] bool is_store_reliable() const;
    /// Logs a read that failed because the store has compacted the watched part of its history.
    /// @returns false for any other failure
    bool is_history_dropped(const failure& reason, const char* watched);
    void record_call(const result<done>& outcome, const char* call);
    void pause(std::chrono::milliseconds duration);

    control_store& store;
    peer_record self;
    bool is_entry;
    routing_state& state;
    peer_link& peers;
    endpoint_statements* statements;
    const clock& time;
    structured_log& log;
    counter& calls;
    counter& failures;
    std::optional<quarantine_keeper> quarantines; ///< none in processes that forward no requests

    bool is_registered{false};
    std::optional<steady_time> registered_after; ///< last restore of the store before the registration
    bool is_reading{false};
    bool has_failed{false};
    std::optional<steady_time> quarantines_read_at;
    steady_time quarantine_retry_at{}; ///< after a failed call
    bool has_quarantines_failed{false};
    std::optional<store_revision> routing_revision;
    std::optional<store_revision> endpoints_revision;
    std::set<std::string> evacuated;                  ///< data centres, as read by this process
    std::map<std::string, endpoint_record> endpoints; ///< by instance, as read by this process
    std::optional<steady_time> last_failure;

    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::condition_variable stopped;
    std::thread thread;
};

} // namespace pomelohoist
