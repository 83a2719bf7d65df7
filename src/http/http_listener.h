#pragma once

#include "http/server_connection.h"

#include <pomelohoist/clock.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <set>

/// Accepts HTTP connections and serves each with a thread of its own.
namespace pomelohoist {

/// Handles the requests of all connections.
/// @attention called by several threads at once
class exchange_handler {
  public:
    virtual ~exchange_handler() = default;
    /// @returns limits for the head of the next request
    [[nodiscard]] virtual head_limits limits() const = 0;
    /// Reads the body and responds. A body that is left unread ends the connection.
    virtual void handle(request_head head, server_connection& connection) = 0;
    /// Responds to a request whose head cannot be accepted; the connection ends after it.
    virtual void refuse(const failure& reason, server_connection& connection) = 0;
};

struct listener_threads {
    int min;
    int max;
    std::chrono::seconds idle; ///< after which a thread beyond the minimum ends
    int stack_bytes;
    int waiting; ///< connections that wait for a thread; further ones are closed

    friend bool operator==(const listener_threads&, const listener_threads&) = default;
};

class http_listener {
  public:
    /// @param handler must outlive the listener
    http_listener(const Poco::Net::ServerSocket& bound, const listener_threads& threads, exchange_handler& handler,
                  const clock& time_source);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    void start();
    /// Closes all connections and waits for their threads.
    void stop();

  private:
    /// The connections that are served, so that `stop` can end them.
    class open_connections;
    class connection_factory;
    class served_connection;

    std::unique_ptr<open_connections> open;
    Poco::ThreadPool pool;
    Poco::Net::TCPServer server;
};

} // namespace pomelohoist
