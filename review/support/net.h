#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Sockets on loopback addresses and HTTP/1.1 messages for the stand-ins of the review.
namespace review {

using steady_time = std::chrono::steady_clock::time_point;

struct address {
    std::string ip;
    std::uint16_t port{0};

    [[nodiscard]] std::string text() const { return this->ip + ":" + std::to_string(this->port); }
    friend bool operator==(const address&, const address&) = default;
};

/// A socket that is closed at the end of its life.
class connection {
  public:
    explicit connection(int descriptor = -1) : handle(descriptor) {}
    ~connection() { this->close(); }
    connection(connection&& other) noexcept : handle(other.release()) {}
    connection& operator=(connection&& other) noexcept;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] int descriptor() const { return this->handle; }
    [[nodiscard]] bool is_open() const { return this->handle >= 0; }
    /// @returns false when the peer has closed or reset the connection
    [[nodiscard]] bool send_all(const std::string& bytes) const;
    /// @returns the bytes that have arrived, empty at the end of the connection, or nothing at the time limit
    [[nodiscard]] std::optional<std::string> receive(steady_time until) const;
    void close();
    void reset();

  private:
    int release();
    int handle{-1};
};

/// @returns a connection that is not open when nobody accepts it in time
connection connect_to(const address& target, std::chrono::milliseconds timeout);

/// @returns an address with a port that is free at the moment
address free_address(const std::string& ip);

struct http_message {
    std::string start_line;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool is_complete{false}; ///< false: the connection ended, or the time limit passed, before the end

    [[nodiscard]] std::string field(const std::string& name) const;
    /// @returns the status of a response, or 0
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

/// Reads messages from one connection.
class http_reader {
  public:
    explicit http_reader(const connection& source) : from(source) {}
    /// @returns the next message, or nothing when the connection ends or the time limit passes before its first byte
    std::optional<http_message> read(steady_time until);

  private:
    bool fill(steady_time until);
    bool read_chunks(std::string& body, steady_time until);
    std::optional<std::string> read_line(steady_time until);

    const connection& from;
    std::string buffer;
};

/// Accepts connections and serves each one in a thread of its own.
class listener {
  public:
    using handler = std::function<void(connection&)>;

    /// @param receive_buffer_bytes size of the receive buffers, or 0 for the default
    listener(address local, handler serve_connection, int receive_buffer_bytes = 0);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    [[nodiscard]] const address& local_address() const { return this->local; }

  private:
    void accept_loop();

    address local;
    handler serve;
    int descriptor{-1};
    std::thread thread;
};

} // namespace review
