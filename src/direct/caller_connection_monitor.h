#pragma once

#include "http/cancellation.h"

#include <Poco/Net/StreamSocket.h>

/// Detects that a caller has disconnected.
namespace pomelohoist {

/// Monitors the caller's connection while the entry waits for an endpoint.
class caller_connection_monitor : public cancellation {
  public:
    explicit caller_connection_monitor(const Poco::Net::StreamSocket& connection) : socket(connection) {}

    [[nodiscard]] int descriptor() const override;
    [[nodiscard]] short events() const override;
    [[nodiscard]] bool is_cancelled() override { return this->is_disconnected(); }
    /// @returns true when the caller has closed or broken the connection
    [[nodiscard]] bool is_disconnected();
    /// Resets the connection, so that an unfinished response cannot look complete.
    void abort();

  private:
    Poco::Net::StreamSocket socket;
    bool has_unread_input{false}; ///< the next request has arrived; POLLIN would therefore always be set
};

} // namespace pomelohoist
