#pragma once

#include "inner/codec.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Calls between processes over UDP: one request and one response datagram; requests without a response are
/// retransmitted.
namespace pomelohoist::inner {

/// Serves the calls of other processes.
/// @attention called by several threads at once; a call may arrive twice
class datagram_handler {
  public:
    virtual ~datagram_handler() = default;
    /// @param request message type and body
    /// @param sender name of the calling process
    /// @returns the response
    virtual payload handle_datagram(const packet& request) = 0;
};

/// A call to be made.
struct datagram_call {
    net_address target;
    payload content;

    friend bool operator==(const datagram_call&, const datagram_call&) = default;
};

class datagram_endpoint {
  public:
    /// Binds the socket.
    /// @param local address to bind; port 0 selects a free port
    /// @param process_name sent with each packet
    /// @attention throws Poco::Net::NetException when the address cannot be bound
    datagram_endpoint(const net_address& local, std::string process_name, const clock& time_source);
    ~datagram_endpoint();
    datagram_endpoint(const datagram_endpoint&) = delete;
    datagram_endpoint& operator=(const datagram_endpoint&) = delete;

    /// Starts to receive. Calls of other processes are served by `server`, or refused when it is null.
    void start(datagram_handler* server);
    void stop();

    [[nodiscard]] net_address local_address() const;

    /// Makes one call.
    /// @param timeout total time of `config::datagram_attempts` transmissions
    /// @returns the response packet, or `timeout`
    result<packet> call(const net_address& target, const payload& content, std::chrono::milliseconds timeout);

    /// Makes several calls at once and waits until all have a response or the timeout expires.
    /// @returns one result for each call, in the order of the calls
    std::vector<result<packet>> call_all(const std::vector<datagram_call>& calls, std::chrono::milliseconds timeout);

  private:
    struct pending_call;

    void receive_loop();
    void work_loop();
    void serve(const packet& request, const net_address& from);
    void dispatch(packet received, const net_address& from);
    void send(const net_address& target, const packet& outgoing);
    std::vector<std::shared_ptr<pending_call>> register_calls(std::size_t number);
    void erase_calls(const std::vector<std::shared_ptr<pending_call>>& pending);
    void send_pending(const std::vector<datagram_call>& calls,
                      const std::vector<std::shared_ptr<pending_call>>& pending);
    bool wait_responses(const std::vector<std::shared_ptr<pending_call>>& pending, steady_time until);

    struct incoming {
        packet request;
        net_address from;
    };

    Poco::Net::DatagramSocket socket;
    std::string name;
    const clock& time;
    datagram_handler* handler{nullptr};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> next_call{1};

    std::mutex calls_mutex;
    std::condition_variable response_received;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> open_calls;

    std::mutex queue_mutex;
    std::condition_variable queue_filled;
    std::deque<incoming> queue;

    std::vector<std::thread> threads;
};

/// Makes a typed call.
/// @returns the response, or the failure of the call or of the receiver
template <class Response, class Request>
result<Response> call_datagram(datagram_endpoint& from, const net_address& target, const Request& request,
                               std::chrono::milliseconds timeout) {
    const result<packet> response = from.call(target, to_payload(request), timeout);
    if (!response) {
        return response.last_error();
    }
    return decode_body<Response>(*response);
}

} // namespace pomelohoist::inner
