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

/// A network path between processes that a test can interrupt.
namespace pomelohoist::test_support {

/// Forwards UDP datagrams and TCP connections to one process. While the relay is cut, it drops datagrams, closes its
/// open connections and closes new ones at once; the target process keeps running.
class relay {
  public:
    /// @param ip address to listen on; UDP and TCP use the same port number
    /// @param process inner address of the target process
    relay(const std::string& ip, const net_address& process);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    [[nodiscard]] net_address address() const { return this->bound; }
    void set_cut(bool is_cut);

  private:
    struct connection {
        Poco::Net::StreamSocket caller;
        Poco::Net::StreamSocket callee;
        std::thread to_callee;
        std::thread to_caller;
    };
    using datagram_paths = std::map<net_address, std::unique_ptr<Poco::Net::DatagramSocket>>;

    void bind(const std::string& ip);
    void datagram_loop();
    void forward_requests(datagram_paths& paths);
    void forward_responses(datagram_paths& paths);
    void accept_loop();
    void accept_connection();
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
