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

/// The other processes that a process knows.
namespace pomelohoist {

struct peer {
    net_address inner;
    std::string data_centre;

    friend bool operator==(const peer&, const peer&) = default;
};

/// Where a process learns of others before it has a configuration.
class peer_directory {
  public:
    virtual ~peer_directory() = default;
    /// @returns the peers to start with
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

/// Seeds, agents of the declared endpoints, and processes that have announced themselves. Safe for several threads.
class peer_set {
  public:
    peer_set(const clock& time_source, net_address own_address, std::string own_data_centre);

    void add_seeds(const std::vector<peer>& seeds);
    /// Replaces the agents of the declared endpoints.
    void set_declared(const configuration& declared);
    /// Remembers for a while a process that has announced itself.
    void hear_from(const net_address& address, const std::string& data_centre);
    /// Notes that a known process has answered.
    void note_answer(const net_address& address);

    [[nodiscard]] std::size_t size() const;
    /// @returns how many processes were heard from or have answered lately
    [[nodiscard]] std::size_t responsive() const;
    /// Notes whether a peer that was chosen at random has answered.
    void note_sample(bool has_answered);
    /// @returns an estimate of how many of the known processes run
    [[nodiscard]] std::size_t estimate_running() const;
    [[nodiscard]] std::vector<net_address> all() const;
    /// @returns up to `number` random peers; of four, on average three of the own data centre. The first one has been
    /// heard from lately, if there is such a peer
    [[nodiscard]] std::vector<net_address> choose(std::size_t number, random_source& random);

  private:
    enum class origin : std::uint8_t { seed, declared, heard, count };

    struct known_peer {
        std::string data_centre;
        origin source{origin::seed};
        steady_time heard_at{};
    };

    void rebuild();
    void note_heard(const net_address& address, known_peer& known);
    [[nodiscard]] bool is_responsive(const known_peer& known, steady_time now) const;

    const clock& time;
    net_address own;
    std::string centre;
    mutable std::mutex mutex;
    std::map<net_address, known_peer> peers;
    std::vector<net_address> near; ///< of the own data centre
    std::vector<net_address> far;
    std::vector<net_address> responsive_near;
    std::vector<net_address> responsive_far;
    steady_time rebuilt_at{};
    double answering_share;
};

} // namespace pomelohoist
