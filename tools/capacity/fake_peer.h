#pragma once

#include "inner/peer_listener.h"
#include "spread/configuration_state.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <string>
#include <vector>

/// A peer that other processes pull from, so that the moment and the form of each pull are known.
namespace pomelohoist::capacity {

class fake_peer : public inner::datagram_handler, public inner::stream_handler {
  public:
    fake_peer();
    ~fake_peer() override;
    fake_peer(const fake_peer&) = delete;
    fake_peer& operator=(const fake_peer&) = delete;

    /// Takes the newest configuration of the store, by deltas when there is an earlier one.
    void read_from(const net_address& platform);
    /// Makes the next version, by a change of one label, and offers it to the processes until they have it.
    /// @param as_snapshot the processes pull the whole configuration and not the delta
    void offer_next(const std::vector<net_address>& processes, bool as_snapshot);
    /// Announces the newest version of the store until the processes have it. Among many declared agents that do not
    /// run, the few processes of a measurement seldom find each other.
    void spread_newest(const net_address& platform, const std::vector<net_address>& processes);
    /// Announces the version in force.
    void announce_to(const net_address& process);

    [[nodiscard]] std::uint64_t version() const { return this->state.current()->version(); }
    [[nodiscard]] inner::datagram_endpoint& calls() { return this->listener.calls(); }
    [[nodiscard]] net_address address() const { return this->listener.local_address(); }

    inner::payload handle_datagram(const inner::packet& request) override;
    void handle_stream(const inner::packet& first, inner::frame_channel& channel) override;

  private:
    system_clock time;
    configuration_state state;
    inner::peer_listener listener;
};

} // namespace pomelohoist::capacity
