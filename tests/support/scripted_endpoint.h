#pragma once

#include <pomelohoist/types.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// An endpoint that responds with given bytes, which may be malformed.
namespace pomelohoist::test_support {

/// Bytes and delays that follow a request.
struct scripted_response {
    std::string bytes;
    std::chrono::milliseconds delay{0}; ///< delay before the bytes
    bool closes{false};                 ///< closes the connection without a reset after the bytes
    bool resets{false};                 ///< resets the connection after the bytes
    bool hangs{false};                  ///< sends nothing more and waits until the client disconnects
    bool crashes{false};                ///< after the bytes, resets all connections and refuses new ones
    bool crashes_after_close{false};    ///< the same, but closes the connection without a reset
    int send_buffer_bytes{0};           ///< of the connection; 0: the kernel's choice
    std::string endless{};              ///< sent again and again after the bytes, until the client disconnects
    std::chrono::milliseconds endless_interval{0}; ///< between two of these

    friend bool operator==(const scripted_response&, const scripted_response&) = default;
};

class scripted_endpoint {
  public:
    /// @param request head and body as received
    /// @param number number of the request, from 0
    using script = std::function<scripted_response(const std::string& request, std::size_t number)>;

    /// @param receive_buffer_bytes of each connection; 0: the kernel's choice
    explicit scripted_endpoint(script responses, int receive_buffer_bytes = 0);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    [[nodiscard]] net_address address() const;
    [[nodiscard]] std::vector<std::string> requests() const;
    /// Leaves the bytes that clients send in the kernel's buffers from now on.
    void stop_reading() { this->is_reading = false; }
    [[nodiscard]] bool has_crashed() const { return this->crashed; }
    [[nodiscard]] std::size_t connections() const { return this->accepted; }
    /// @returns bytes of `endless` that clients have taken, including those in the kernel's buffers
    [[nodiscard]] std::size_t endless_bytes() const { return this->endless_sent; }
    /// @returns true once a client has disconnected while a response was hanging, or has reset its connection
    [[nodiscard]] bool saw_caller_disconnect() const { return this->caller_disconnected; }

  private:
    void accept_loop();
    void serve_connection(Poco::Net::StreamSocket socket);
    bool serve(Poco::Net::StreamSocket& socket, const std::string& request);

    script response_of;
    Poco::Net::ServerSocket listener;
    const net_address bound;
    std::atomic<bool> crashed{false};
    std::atomic<bool> is_closed{false}; ///< set once new connections are refused after a crash
    std::atomic<bool> stopping{false};
    std::atomic<bool> is_reading{true};
    std::atomic<bool> caller_disconnected{false};
    std::atomic<std::size_t> accepted{0};
    std::atomic<std::size_t> endless_sent{0};
    mutable std::mutex mutex;
    std::vector<std::string> received_requests;
    std::vector<std::thread> connection_threads; ///< used by `acceptor` until it has ended
    std::thread acceptor;
};

/// @returns a response to the request with Content-Length and the fields that an endpoint of the platform sends
std::string full_response_to(const std::string& request, int status, const std::string& body,
                             const std::string& more_fields = "");

/// @returns the value of a header field of a request, or ""
std::string field_of(const std::string& request, const std::string& name);

} // namespace pomelohoist::test_support
