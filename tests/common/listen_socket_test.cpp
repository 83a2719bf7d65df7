#include "common/listen_socket.h"

#include <Poco/Net/NetException.h>

#include <gtest/gtest.h>

namespace pomelohoist {
namespace {

// Guards against two processes that listen on one port: the kernel would distribute the connections over both
// processes, and requests would reach the wrong endpoint.
TEST(listen_socket_test, second_listener_is_refused) {
    constexpr int backlog = 4;
    const Poco::Net::ServerSocket first = bind_listener({"127.0.0.1", 0}, backlog);
    const net_address used_address{"127.0.0.1", first.address().port()};
    EXPECT_THROW(bind_listener(used_address, backlog), Poco::Net::NetException);
}

} // namespace
} // namespace pomelohoist
