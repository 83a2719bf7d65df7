#pragma once

#include "common/log.h"
#include "direct/control_store.h"
#include "direct/crash_quarantine.h"
#include "direct/direct_messages.h"
#include "direct/endpoint_statements.h"
#include "direct/routing_state.h"
#include "inner/codec.h"
#include "inner/stream_server.h"
#include "placement/load_tracker.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Exchange of versions, load, crash reports, and what endpoints state, between the processes of a deployment.
namespace pomelohoist {

struct peer_link_options {
    peer_record own;
    bool is_entry{true};
    std::vector<net_address> seeds; ///< processes that receive updates from the start, whether they respond or not

    friend bool operator==(const peer_link_options&, const peer_link_options&) = default;
};

/// A process that manages a rank of a group.
struct group_peer {
    std::string name;
    net_address address; ///< address of the process, not of its engine
    std::uint32_t rank{0};
    net_address engine;
    bool is_live{true}; ///< has sent an update in time; the engine of an unresponsive process may still serve

    friend bool operator==(const group_peer&, const group_peer&) = default;
};

/// Sends the versions in use to all known processes, and pulls newer versions from them. Each process therefore
/// receives every change that any process has read from the store, even while the store refuses the receiver.
class peer_link : public inner::stream_handler {
  public:
    /// Binds the sockets.
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    /// @param known_crashes null in processes that forward no requests
    /// @param stated null in the same processes
    /// @param unread null in the same processes
    /// @param fallback_handler handles the streams that are not routing pulls; may be null
    peer_link(peer_link_options link_options, routing_state& current_state, load_tracker& loads,
              crash_quarantine* known_crashes, endpoint_statements* stated, unread_prompts* unread,
              inner::stream_handler* fallback_handler, const clock& time_source, structured_log& process_log);
    ~peer_link() override;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    void start();
    void stop();

    void add_peers(const std::vector<peer_record>& records);
    void set_seeds(std::vector<net_address> addresses);
    /// Sends an update to all peers immediately.
    void send_update();
    /// Sends an update to the live entries, at once or when `load_update_interval` has passed since the last one;
    /// called when this entry's load has changed.
    void send_load();
    /// Sends this entry's recent crash reports to all entries.
    void send_crash_evidence();
    /// Sets the rank that this process manages; each update contains this rank.
    void set_rank(const std::optional<inner::rank_info>& own_rank);
    /// @returns the other processes that manage ranks of the group; when several processes manage the same rank, only
    /// the process that has sent the latest update
    [[nodiscard]] std::vector<group_peer> group_peers(const std::string& group) const;
    /// @returns engines whose group does not serve, as reported by the live processes that manage them
    [[nodiscard]] std::vector<net_address> closed_engines() const;
    /// @returns number of live entries whose names sort before this process's name; the entry with 0 reads the
    /// store continuously, and entries with small numbers are the first to replace it as reader
    [[nodiscard]] std::uint32_t rank_among_live() const;
    /// @returns number of processes that are entries or may be, including those that do not respond
    [[nodiscard]] std::uint32_t possible_entries() const { return this->possible_entry_count; }

  private:
    enum class audience : std::uint8_t { live_entries, silent_entries, entries, group, everyone, count };

    struct peer_state {
        net_address address;
        Poco::Net::SocketAddress socket_address; ///< the same address; parsing it for each datagram is slow
        bool is_entry{false};
        std::uint64_t sequence{0};
        std::optional<steady_time> last_seen_at;
        std::optional<inner::rank_info> local_rank;
    };

    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;
    void receive_loop();
    void update_loop();
    void pull_loop();
    void handle_update(const inner::peer_update& update, const net_address& from);
    void request_pull(const net_address& from);
    void pull_from(const net_address& from);
    /// A full update repeats recent reports, since earlier datagrams may have been lost.
    enum class update_content : std::uint8_t { latest, full, count };

    /// @returns true when a full update contains reports that a load update omits
    [[nodiscard]] bool has_recent_reports() const;
    [[nodiscard]] inner::peer_update make_update(update_content content);
    [[nodiscard]] std::string encode_update(update_content content) {
        return inner::encode(this->make_update(content));
    }
    void send_to(const std::string& bytes, const std::vector<Poco::Net::SocketAddress>& addresses);
    [[nodiscard]] std::vector<Poco::Net::SocketAddress> targets(audience recipients) const;
    /// Requires the mutex.
    [[nodiscard]] std::uint32_t count_possible_entries() const;
    /// @returns number of live entries, including this process if it is one; requires the mutex
    [[nodiscard]] std::size_t live_entries() const;
    [[nodiscard]] bool is_live(const peer_state& peer) const;
    [[nodiscard]] bool is_recipient(const peer_state& peer, audience recipients) const;
    /// Sends the periodic updates that are due.
    /// @returns time until the next updates are due
    std::chrono::milliseconds send_due_updates();
    std::chrono::milliseconds send_due_entry_updates();
    std::chrono::milliseconds send_due_rank_updates();

    peer_link_options options;
    routing_state& state;
    load_tracker& tracker;
    crash_quarantine* crashes;
    endpoint_statements* statements;
    unread_prompts* prompts;
    inner::stream_handler* next_handler;
    const clock& time;
    structured_log& log;
    Poco::Net::DatagramSocket socket;
    inner::stream_listener listener;
    std::unique_ptr<inner::stream_server> server;
    std::atomic<std::uint64_t> next_sequence;
    std::atomic<std::uint32_t> possible_entry_count{1}; ///< renewed with each update that is sent
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, peer_state> peers;
    std::deque<net_address> pulls;
    std::optional<inner::rank_info> rank;
    steady_time periodic_sent_at{}; ///< last periodic update to everyone or all entries; used by the update thread only
    steady_time load_sent_at{};     ///< last update to the live entries
    bool is_load_unsent{false};     ///< the load has changed since `load_sent_at`
    bool is_update_due{false};      ///< wakes the update thread before its next periodic update
    std::vector<std::thread> threads;
};

} // namespace pomelohoist
