#include "common/listen_socket.h"

#include <Poco/Net/SocketAddress.h>

namespace pomelohoist {

Poco::Net::ServerSocket bind_listener(const net_address& local, int backlog) {
    Poco::Net::ServerSocket socket;
    // POCO's constructor that binds also sets SO_REUSEPORT. Two processes could then listen on one port and each accept
    // a part of the connections, so that a request would reach an endpoint other than its destination.
    constexpr bool reuse_address = true;
    constexpr bool reuse_port = false;
    socket.bind(Poco::Net::SocketAddress{local.ip, local.port}, reuse_address, reuse_port);
    socket.listen(backlog);
    return socket;
}

} // namespace pomelohoist
