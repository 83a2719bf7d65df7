#pragma once

#include <pomelohoist/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// TCP connections and HTTP messages of the clients and servers in the cases.
namespace pomelohoist::review {

using steady = std::chrono::steady_clock;

/// How reading has ended.
enum class read_end : std::uint8_t {
    bytes,     ///< some bytes have arrived
    closed,    ///< the peer has closed the connection
    reset,     ///< the connection was reset
    timed_out, ///< nothing arrived in time
    count
};

/// One end of a TCP connection; closes it at its end.
class channel {
  public:
    explicit channel(int connected) : descriptor(connected) {}
    ~channel() { this->close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    channel(channel&& other) noexcept : descriptor(other.descriptor), received(std::move(other.received)) {
        other.descriptor = -1;
    }
    channel& operator=(channel&& other) noexcept;

    /// @returns nothing when no connection was made in time
    static std::optional<channel> connect(const net_address& target, std::chrono::milliseconds timeout);
    /// @returns false when the connection was lost
    bool send(const std::string& bytes, std::chrono::milliseconds timeout = std::chrono::seconds{10});
    /// Waits for bytes and adds them to `buffer`.
    read_end receive(std::chrono::milliseconds timeout);
    /// The bytes that have arrived and are not used yet.
    std::string& buffer() { return this->received; }
    void close();
    /// Closes with a reset.
    void reset();

  private:
    int descriptor;
    std::string received;
};

/// A request or a response.
struct message {
    std::string first_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool complete{false};           ///< the body has arrived up to its declared end
    read_end end{read_end::bytes};  ///< why an incomplete message has ended
    steady::time_point received_at; ///< when its last byte arrived

    [[nodiscard]] std::string header(const std::string& lower_case_name) const;
    /// @returns the status of a response, or 0
    [[nodiscard]] int status() const;
    /// @returns the word of the first line at this position, or ""
    [[nodiscard]] std::string word(std::size_t position) const;
};

/// Reads one message with a length, with chunks or without a body.
/// @returns nothing when not even a head has arrived; `end` is set then
std::optional<message> read_message(channel& source, steady::time_point until, read_end& end);

} // namespace pomelohoist::review
