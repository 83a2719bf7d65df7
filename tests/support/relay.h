#pragma once

#include <pomelohoist/types.h>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/// A network path between processes that a test can cut.
namespace pomelohoist::test_support {

/// Passes UDP datagrams and TCP connections on to one process. While it is cut, datagrams are lost, open connections
/// break and new ones are closed at once; the process behind it runs on.
class relay {
  public:
    /// @param ip address to listen at, for UDP and TCP on one port number
    /// @param behind inner address of the process
    relay(const std::string& ip, const net_address& behind);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    [[nodiscard]] net_address address() const { return this->bound; }
    void set_cut(bool wanted);

  private:
    struct connection {
        Poco::Net::StreamSocket caller;
        Poco::Net::StreamSocket callee;
        std::thread forth;
        std::thread back;
    };
    using datagram_paths = std::map<net_address, std::unique_ptr<Poco::Net::DatagramSocket>>;

    void bind(const std::string& ip);
    void datagram_loop();
    void pass_requests(datagram_paths& paths);
    void pass_replies(datagram_paths& paths);
    void accept_loop();
    void accept_one();
    void close_connections();

    net_address target;
    net_address bound;
    Poco::Net::DatagramSocket datagrams;
    Poco::Net::ServerSocket listener;
    std::atomic<bool> cut{false};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::unique_ptr<connection>> connections;
    std::thread datagram_thread;
    std::thread accept_thread;
};

} // namespace pomelohoist::test_support
