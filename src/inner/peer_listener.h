#pragma once

#include "inner/datagram_endpoint.h"
#include "inner/stream_server.h"

#include <pomelohoist/clock.h>

#include <memory>
#include <string>

/// The inner address of a process: UDP and TCP on the same port number.
namespace pomelohoist::inner {

class peer_listener {
  public:
    /// Binds both sockets.
    /// @param local address; port 0 selects a number that is free for both
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    peer_listener(const net_address& local, const std::string& process_name, const clock& time_source);

    /// Starts to serve datagrams and streams.
    void start(datagram_handler& datagrams, stream_handler& streams);
    /// Stops accepting streams, waits for the open ones, then stops serving datagrams.
    void stop();

    [[nodiscard]] net_address local_address() const;
    /// @returns the endpoint for calls to other processes
    [[nodiscard]] datagram_endpoint& calls();

  private:
    std::string name;
    std::unique_ptr<datagram_endpoint> datagram;
    std::unique_ptr<stream_listener> listener;
    std::unique_ptr<stream_server> server;
};

} // namespace pomelohoist::inner
