#pragma once

#include "channel.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

/// A stand-in for a server of a service.
namespace pomelohoist::review {

/// Accepts connections on a loopback address and serves each of them in a thread.
class server {
  public:
    /// Serves one connection; returns when the connection has to be closed.
    using connection_handler = std::function<void(channel& caller, const std::atomic<bool>& stopping)>;

    explicit server(connection_handler serve_connection, std::uint16_t port = 0);
    ~server() { this->stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] net_address address() const { return this->bound; }
    void stop();

  private:
    struct worker {
        std::thread thread;
        std::shared_ptr<std::atomic<bool>> done;
    };
    void accept_loop();
    void remove_finished();

    connection_handler handler;
    int listener{-1};
    net_address bound;
    std::atomic<bool> stopping{false};
    std::list<worker> workers;
    std::thread accepting;
};

/// Serves one request of a connection at a time.
/// @returns false to close the connection
using request_handler = std::function<bool(channel& caller, const message& request)>;
/// Makes a handler that reads the requests of a connection one after the other.
server::connection_handler serve_requests(request_handler serve);

/// @returns a response with the fields that a server of the platform sends
std::string make_response(const message& request, int status, const std::string& body,
                          const std::string& more_fields = "");

} // namespace pomelohoist::review
