#pragma once

#include "inner/peer_listener.h"
#include "spread/configuration_state.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <string>
#include <vector>

/// A peer from which other processes pull, so that a measurement controls the time and the form of each pull.
namespace pomelohoist::capacity {

class fake_peer : public inner::datagram_handler, public inner::stream_handler {
  public:
    fake_peer();
    ~fake_peer() override;
    fake_peer(const fake_peer&) = delete;
    fake_peer& operator=(const fake_peer&) = delete;

    /// Reads the newest configuration from the store, as deltas when an earlier version has been read.
    void load_from(const net_address& platform);
    /// Creates the next version by changing one label, announces it to the processes and waits until they have it.
    /// @param as_snapshot the processes pull the full configuration instead of the delta
    void publish_next(const std::vector<net_address>& processes, bool as_snapshot);
    /// Reads the newest version of the store, announces it to the processes and waits until they have it. Without this
    /// call, the few running processes seldom select each other as peers among many declared agents that do not run.
    void publish_newest(const net_address& platform, const std::vector<net_address>& processes);
    /// Announces the version in force to one process.
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
