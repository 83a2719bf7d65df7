#pragma once

#include "common/log.h"
#include "direct/control_store.h"
#include "direct/direct_messages.h"
#include "direct/load_tracker.h"
#include "direct/routing_state.h"
#include "inner/stream_server.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Exchange of versions and load between the processes of a deployment.
namespace pomelohoist {

struct peer_link_options {
    peer_record own;
    bool is_entry{true};
    std::vector<net_address> seeds; ///< told from the start on, whether they answer or not

    friend bool operator==(const peer_link_options&, const peer_link_options&) = default;
};

/// A process beside a rank of a group.
struct group_peer {
    std::string name;
    net_address address; ///< of the process
    std::uint32_t rank{0};
    net_address engine;
    bool is_live{true}; ///< heard of a short time ago; the engine of a silent process may still serve

    friend bool operator==(const group_peer&, const group_peer&) = default;
};

/// Tells all known processes what is in force here, and pulls what is newer elsewhere. Each process therefore hears of
/// a change that any of them has read from the store, also while the store refuses this one.
class peer_link : public inner::stream_handler {
  public:
    /// Binds the sockets.
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    /// @param other takes the streams that are not about views; may be null
    peer_link(peer_link_options chosen, routing_state& in_force, load_tracker& loads, inner::stream_handler* other,
              const clock& time_source, structured_log& process_log);
    ~peer_link() override;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    void start();
    void stop();

    void add_peers(const std::vector<peer_record>& records);
    void set_seeds(std::vector<net_address> addresses);
    /// Tells all peers at once.
    void send_update();
    /// Tells the other entries at once that this entry's load has changed.
    void announce_load();
    /// Tells the others which rank this process runs beside.
    void set_rank(const std::optional<inner::rank_info>& own_rank);
    /// @returns the processes beside the ranks of the group, this one not included; of two for one rank the one that
    /// was heard of last
    [[nodiscard]] std::vector<group_peer> group_peers(const std::string& group) const;
    /// @returns engines whose group does not serve, as the live processes beside them say
    [[nodiscard]] std::vector<net_address> closed_engines() const;
    /// @returns how many live processes have a smaller name than this one; the first ones read the store
    [[nodiscard]] std::uint32_t rank_among_live() const;

  private:
    enum class audience : std::uint8_t { live_entries, entries, group, everyone, count };

    struct peer {
        net_address address;
        bool is_entry{false};
        std::uint64_t sequence{0};
        std::optional<steady_time> heard_at;
        std::optional<inner::rank_info> beside;
    };

    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;
    void receive_loop();
    void announce_loop();
    void pull_loop();
    void take(const inner::peer_update& news, const net_address& from);
    void request_pull(const net_address& from);
    void pull_from(const net_address& from);
    [[nodiscard]] std::string make_news();
    void send_to(const std::string& bytes, const std::vector<net_address>& targets);
    [[nodiscard]] std::vector<net_address> targets(audience told) const;
    [[nodiscard]] bool is_live(const peer& known) const;
    [[nodiscard]] bool is_told(const peer& known, audience told) const;
    /// Sends the news that are due.
    /// @returns time until the next ones
    std::chrono::milliseconds announce_due();

    peer_link_options options;
    routing_state& shared;
    load_tracker& board;
    inner::stream_handler* next_handler;
    const clock& time;
    structured_log& log;
    Poco::Net::DatagramSocket socket;
    inner::stream_listener listener;
    std::unique_ptr<inner::stream_server> server;
    std::atomic<std::uint64_t> next_sequence;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, peer> peers;
    std::deque<net_address> pulls;
    std::optional<inner::rank_info> rank;
    steady_time told_everyone_at{}; ///< used by the announcing thread only
    std::vector<std::thread> threads;
};

} // namespace pomelohoist
