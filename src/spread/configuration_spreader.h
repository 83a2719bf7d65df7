#pragma once

#include "common/log.h"
#include "common/random_source.h"
#include "inner/datagram_endpoint.h"
#include "platform/host_list.h"
#include "platform/object_store.h"
#include "platform/table_service.h"
#include "spread/configuration_commit.h"
#include "spread/configuration_source.h"
#include "spread/configuration_state.h"
#include "spread/peer_set.h"

#include <pomelohoist/clock.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Propagation of configuration and host list between processes.
namespace pomelohoist {

/// Services that a spreader uses; all must outlive it.
struct spreader_services {
    table_service& table;
    object_store& objects;
    host_list& hosts;
    peer_directory& directory;
    inner::datagram_endpoint& calls; ///< must be started before `start` and stopped after `stop`
    const clock& time;
    random_source& random;
    structured_log& log;
};

/// The process that a spreader belongs to.
struct spreader_identity {
    net_address address; ///< inner address at which other processes reach it
    std::string data_centre;
    std::string name;

    friend bool operator==(const spreader_identity&, const spreader_identity&) = default;
};

/// Counters since the start. `bytes` counts message bodies, sent and received.
struct spread_counts {
    std::uint64_t polls{0};
    std::uint64_t pulls{0};
    std::uint64_t pulls_served{0};
    std::uint64_t announces{0};
    std::uint64_t bytes{0};

    friend bool operator==(const spread_counts&, const spread_counts&) = default;
};

/// Guarantees:
/// - `current` never goes back to a lower version within one process.
/// - When `wait_ready` returns true, the version in force is above 0 and
///   - at least the head of the table service as read during the start, if it could be read;
///   - at least the highest version among all peers that responded during the start. The process queries the seeds
///     and, while the head cannot be read, also all processes known from the configuration and from announcements.
///   A version that only unreachable processes and an unreachable store have cannot be loaded and may arrive after the
///   start. A process does not become ready while a peer responds but its configuration cannot be pulled: a late start
///   is preferred to a lower version.
/// - A process can start during a store outage while one known peer has a configuration.
class configuration_spreader : public configuration_source {
  public:
    configuration_spreader(const spreader_services& used_services, spreader_identity own_identity);
    ~configuration_spreader() override;
    configuration_spreader(const configuration_spreader&) = delete;
    configuration_spreader& operator=(const configuration_spreader&) = delete;

    /// Starts the threads.
    void start();
    /// Waits until the process may serve.
    /// @returns false when the timeout expired first
    bool wait_ready(std::chrono::milliseconds timeout);
    void stop();

    [[nodiscard]] configuration_ptr current() const override;
    result<done> pull_from(const net_address& source, std::uint64_t version) override;
    [[nodiscard]] bool is_leaving(const std::string& host) const override;
    [[nodiscard]] std::uint64_t host_list_version() const override;
    inner::announce_response handle_announce(const inner::announce& received) override;
    inner::pull_response handle_pull(const inner::pull_request& received) override;

    [[nodiscard]] spread_counts counts() const;
    [[nodiscard]] std::size_t known_peers() const;

  private:
    struct offered_versions {
        std::uint64_t configuration_version{0};
        std::uint64_t host_list_version{0};
    };

    void announce_loop();
    void store_loop();
    void pull_loop();

    bool try_start();
    std::optional<std::uint64_t> query_peers(const std::vector<net_address>& targets);
    std::vector<result<inner::announce_response>> announce_to(const std::vector<net_address>& targets);
    std::optional<std::uint64_t> update_from_store();
    void record_store_state(bool is_reachable);
    result<done> fetch_from_store();
    result<done> pull(const net_address& source);
    void request_pull(const net_address& source, const offered_versions& offered);
    bool is_newer(const offered_versions& offered) const;
    void on_configuration_applied(std::uint64_t version_before, const std::string& source);
    void release_memory_if_due();
    std::chrono::milliseconds next_poll_interval();
    bool sleep_for(std::chrono::milliseconds duration);

    spreader_services services;
    spreader_identity identity;
    configuration_commit store;
    configuration_state state;
    peer_set peers;

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping{false};
    bool ready{false};
    bool has_unannounced_version{false}; ///< a version was applied that has not been announced yet
    std::map<net_address, offered_versions> pending_pulls;
    std::vector<std::thread> threads;

    std::atomic<bool> has_large_change{false}; ///< a version was applied whose construction left much free memory
    std::atomic<bool> store_reachable{true};
    std::atomic<std::uint64_t> poll_count{0};
    std::atomic<std::uint64_t> pull_count{0};
    std::atomic<std::uint64_t> served_count{0};
    std::atomic<std::uint64_t> announce_count{0};
    std::atomic<std::uint64_t> byte_count{0};
};

} // namespace pomelohoist
