#pragma once

#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>

/// Listening sockets that no other process shares.
namespace pomelohoist {

/// @param local address to bind; port 0 lets the system choose
/// @returns a listening socket
/// @attention throws Poco::Net::NetException when another process listens on the address
Poco::Net::ServerSocket bind_listener(const net_address& local, int backlog);

} // namespace pomelohoist
