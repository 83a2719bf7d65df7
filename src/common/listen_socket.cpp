#include "common/listen_socket.h"

#include <Poco/Net/SocketAddress.h>

namespace pomelohoist {

Poco::Net::ServerSocket bind_listener(const net_address& local, int backlog) {
    Poco::Net::ServerSocket socket;
    // The constructor of POCO that binds also sets SO_REUSEPORT. Two processes could then listen on one port and each
    // get a part of the connections, so that a request reaches another endpoint than the one it was sent to.
    constexpr bool reuse_address = true;
    constexpr bool reuse_port = false;
    socket.bind(Poco::Net::SocketAddress{local.ip, local.port}, reuse_address, reuse_port);
    socket.listen(backlog);
    return socket;
}

} // namespace pomelohoist
