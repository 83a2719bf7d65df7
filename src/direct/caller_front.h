#pragma once

#include "common/metrics.h"
#include "direct/direct_service.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

/// HTTP servers of an entry that forwards directly: callers, readiness, metrics.
namespace pomelohoist {

/// Serves callers. Each open connection has a thread of its own.
class caller_front {
  public:
    /// Binds the socket.
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    caller_front(const net_address& local, direct_service& served, const routing_state& in_force,
                 const clock& time_source);
    ~caller_front();
    caller_front(const caller_front&) = delete;
    caller_front& operator=(const caller_front&) = delete;

    void start();
    /// From now on each answer closes its connection.
    void begin_closing() { this->closing = true; }

  private:
    direct_service& service;
    const routing_state& shared;
    const clock& time;
    std::atomic<bool> closing{false};
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::ThreadPool> pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

/// Serves one page of text, such as readiness or metrics, for any path.
class page_server {
  public:
    /// @param render gives status and text; is called by the server's threads
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    page_server(const net_address& local, std::function<full_response()> render);
    ~page_server();
    page_server(const page_server&) = delete;
    page_server& operator=(const page_server&) = delete;

  private:
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::ThreadPool> pool;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

} // namespace pomelohoist
