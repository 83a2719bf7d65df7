#pragma once

#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>

/// Listening sockets whose port cannot be shared with another process.
namespace pomelohoist {

/// @param local address to bind; with port 0 the operating system assigns a free port
/// @param backlog maximum number of connections that wait to be accepted
/// @returns a listening socket
/// @attention throws Poco::Net::NetException when another process listens on the address
Poco::Net::ServerSocket bind_listener(const net_address& local, int backlog);

} // namespace pomelohoist
