#pragma once

#include <Poco/Net/StreamSocket.h>

/// Tells whether a caller has left.
namespace pomelohoist {

/// The caller's connection, watched while the entry waits for an endpoint.
class caller_watchpoint {
  public:
    explicit caller_watchpoint(const Poco::Net::StreamSocket& connection) : socket(connection) {}

    /// @returns the descriptor to wait on
    [[nodiscard]] int descriptor() const;
    /// @returns events of poll(2) that may mean that the caller has left
    [[nodiscard]] short events() const;
    /// @returns true when the caller has closed or broken the connection
    [[nodiscard]] bool is_disconnected();
    /// Breaks the connection, so that an unfinished answer cannot look complete.
    void abort();

  private:
    Poco::Net::StreamSocket socket;
    bool has_sent_more{false}; ///< bytes of a next request lie in the socket, so that it is always readable
};

} // namespace pomelohoist
