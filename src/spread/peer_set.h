#pragma once

#include "common/random_source.h"
#include "declaration/configuration.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

/// The peers of a process.
namespace pomelohoist {

struct peer {
    net_address inner;
    std::string data_centre;

    friend bool operator==(const peer&, const peer&) = default;
};

/// Provides the peers of a process before it has a configuration.
class peer_directory {
  public:
    virtual ~peer_directory() = default;
    /// @returns the initial peers
    virtual std::vector<peer> seeds() = 0;
};

/// Seeds from the settings file.
class fixed_peers : public peer_directory {
  public:
    explicit fixed_peers(std::vector<peer> from_settings) : list(std::move(from_settings)) {}
    std::vector<peer> seeds() override { return this->list; }

  private:
    std::vector<peer> list;
};

/// Seeds, agents of the declared endpoints, and processes that have sent announcements. Safe for several threads.
class peer_set {
  public:
    peer_set(const clock& time_source, net_address own_address, std::string own_data_centre);

    void add_seeds(const std::vector<peer>& seeds);
    /// Replaces the agents of the declared endpoints.
    void set_declared(const configuration& declared);
    /// Records a process that has sent an announcement. The record expires unless the process is declared or a seed.
    void record_seen(const net_address& address, const std::string& data_centre);
    /// Records that a known process has responded.
    void record_response(const net_address& address);

    [[nodiscard]] std::size_t size() const;
    /// @returns the number of processes that have announced themselves or responded recently
    [[nodiscard]] std::size_t responsive_count() const;
    /// Records whether a randomly selected peer has responded.
    void record_sample(bool has_responded);
    /// @returns the estimated number of running processes among the known ones
    [[nodiscard]] std::size_t estimate_running() const;
    [[nodiscard]] std::vector<net_address> all() const;
    /// @returns up to `number` random peers, on average three of four in the own data centre. The first peer is a
    /// responsive one, if there is any
    [[nodiscard]] std::vector<net_address> choose(std::size_t number, random_source& random);

  private:
    enum class origin : std::uint8_t { seed, declared, announced, count };

    struct known_peer {
        std::string data_centre;
        origin source{origin::seed};
        steady_time last_seen_at{};
    };

    void rebuild();
    void mark_seen(const net_address& address, known_peer& record);
    [[nodiscard]] bool is_responsive(const known_peer& record, steady_time now) const;

    const clock& time;
    net_address own;
    std::string centre;
    mutable std::mutex mutex;
    std::map<net_address, known_peer> peers;
    std::vector<net_address> near; ///< in the own data centre
    std::vector<net_address> far;
    std::vector<net_address> responsive_near;
    std::vector<net_address> responsive_far;
    steady_time rebuilt_at{};
    double responding_share;
};

} // namespace pomelohoist
