#pragma once

#include "inner/frame_channel.h"

#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <string>

namespace Poco {
class ThreadPool;
namespace Net {
class TCPServer;
} // namespace Net
} // namespace Poco

/// Accepts TCP connections of other processes, with one thread per connection.
namespace pomelohoist::inner {

/// Serves one connection.
/// @attention called by several threads at once
class stream_handler {
  public:
    virtual ~stream_handler() = default;
    /// @param first initial packet of the connection, already received
    /// @param channel for the responses; closed when the function returns
    virtual void handle_stream(const packet& first, frame_channel& channel) = 0;
};

/// A bound socket that does not accept connections until a `stream_server` uses it.
class stream_listener {
  public:
    /// @param local address to bind; port 0 selects a free port
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    explicit stream_listener(const net_address& local);
    [[nodiscard]] net_address local_address() const;

  private:
    friend class stream_server;
    Poco::Net::ServerSocket socket;
    net_address bound;
};

class stream_server {
  public:
    /// Starts accepting connections.
    stream_server(const stream_listener& listener, std::string process_name, stream_handler& handler);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// Stops accepting connections and waits for the open ones to end.
    void stop();

  private:
    std::unique_ptr<Poco::ThreadPool> pool;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

} // namespace pomelohoist::inner
