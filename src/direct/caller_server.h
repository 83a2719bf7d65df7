#pragma once

#include "common/metrics.h"
#include "direct/direct_service.h"
#include "http/http_listener.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

/// HTTP servers of an entry that forwards directly: callers, readiness, metrics.
namespace pomelohoist {

/// Serves callers with one thread for each open connection.
class caller_server {
  public:
    /// Binds the socket.
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    caller_server(const net_address& local, direct_service& request_service, const routing_state& current_state,
                  const clock& time_source);
    ~caller_server() = default;
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    void start() { this->listener.start(); }
    /// Makes each further response close its connection.
    void begin_closing() { this->closing = true; }

  private:
    std::atomic<bool> closing{false};
    Poco::Net::ServerSocket socket;
    std::unique_ptr<exchange_handler> handler;
    http_listener listener;
};

/// Serves one text page, such as readiness or metrics, on every path.
class page_server {
  public:
    /// @param render returns status, headers and text; called on the server's threads
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    page_server(const net_address& local, std::function<full_response()> render, const clock& time_source);
    ~page_server() = default;
    page_server(const page_server&) = delete;
    page_server& operator=(const page_server&) = delete;

  private:
    Poco::Net::ServerSocket socket;
    std::unique_ptr<exchange_handler> handler;
    http_listener listener;
};

} // namespace pomelohoist
