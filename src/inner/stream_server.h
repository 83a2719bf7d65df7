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

/// Accepts TCP connections of other processes, one thread for each.
namespace pomelohoist::inner {

/// Serves one connection.
/// @attention is called by several threads at once
class stream_handler {
  public:
    virtual ~stream_handler() = default;
    /// @param first packet that opened the conversation
    /// @param channel for the replies; closed when the function returns
    virtual void handle_stream(const packet& first, frame_channel& channel) = 0;
};

/// A bound socket that nobody accepts from yet.
class stream_listener {
  public:
    /// @param local address to bind; port 0 lets the system choose
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
    /// Starts to accept.
    stream_server(const stream_listener& listener, std::string process_name, stream_handler& handler);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// Stops to accept and waits for the open connections.
    void stop();

  private:
    std::unique_ptr<Poco::ThreadPool> pool;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

} // namespace pomelohoist::inner
