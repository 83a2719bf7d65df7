#pragma once

#include "entry/entry_request.h"
#include "entry/response_sink.h"
#include "http/http_listener.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <string>

/// The HTTP server towards callers.
namespace pomelohoist {

/// Serves requests that were read completely.
/// @attention called by several threads at once
class http_service {
  public:
    virtual ~http_service() = default;
    /// @param arrived time at which the header had been read
    virtual void serve(const raw_request& raw, steady_time arrived, response_sink& caller) = 0;
    /// Refuses a request whose body was not read.
    virtual void refuse(const raw_request& raw, const failure& reason, response_sink& caller) = 0;
    [[nodiscard]] virtual bool is_ready() const = 0;
    [[nodiscard]] virtual std::string render_metrics() const = 0;
};

class http_server {
  public:
    /// Binds the socket.
    /// @param local address; port 0 lets the system choose
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    http_server(const net_address& local, const clock& time_source);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @param served must outlive the server
    void start(http_service& served);
    /// Closes all connections. Requests in progress must have ended before.
    void stop();
    [[nodiscard]] net_address local_address() const;

  private:
    const clock& time;
    Poco::Net::ServerSocket socket;
    net_address bound;
    std::unique_ptr<exchange_handler> handler;
    std::unique_ptr<http_listener> listener;
};

} // namespace pomelohoist
