#pragma once

#include "http/body_framing.h"
#include "http/message_head.h"
#include "http/socket_writer.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The server's side of one HTTP connection.
namespace pomelohoist {

/// What a client may use up with the head of one request.
struct head_limits {
    std::size_t bytes;                    ///< of the whole head
    std::optional<std::size_t> fields;    ///< nothing: as many as the bytes allow
    std::chrono::milliseconds first_wait; ///< for the first byte on a new connection
    std::chrono::milliseconds idle;       ///< for the first byte of each further request
    std::chrono::milliseconds total;      ///< from the first byte to the last

    friend bool operator==(const head_limits&, const head_limits&) = default;
};

/// Reads the requests of a connection one after the other. What is read ahead of the current request stays for the
/// next one; a body that was not read whole ends the connection, since its rest is no request.
/// @attention used by one thread
class server_connection {
  public:
    server_connection(const Poco::Net::StreamSocket& accepted, const clock& time_source)
        : peer(accepted), time(time_source) {}

    /// Waits for the next request.
    /// @returns its head; nothing when the connection has ended, or no request began in time; or `bad_request`,
    /// `header_too_large`, `request_timeout`, after which the connection has to end
    result<std::optional<request_head>> read_head(const head_limits& limits);
    /// Reads the body of the request whose head was read last.
    /// @param max_bytes limit of the decoded body
    /// @returns done, or `bad_request`, `payload_too_large`, `request_timeout`
    result<done> read_body(std::uint64_t max_bytes, steady_time deadline, std::string& body);

    /// Ends the connection after the current response.
    void close_after_response() { this->is_closing = true; }
    /// @returns true when a further request may be read after the current response
    [[nodiscard]] bool stays_open() const;
    /// @returns true for a client that only knows bodies with a length, or that end with the connection
    [[nodiscard]] bool is_http_1_0() const { return this->uses_http_1_0; }
    /// After a request that was not read whole, waits for the client to end its side: unread bytes would reset the
    /// connection before the client has read the response.
    void end_gracefully();
    [[nodiscard]] const Poco::Net::StreamSocket& socket() const { return this->peer; }

  private:
    /// @returns false at the time limit, or when nothing more will arrive
    bool receive(steady_time until);
    /// Reads the head that has arrived whole.
    result<std::optional<request_head>> take_head(std::size_t length, const head_limits& limits);
    result<done> read_sized_body(steady_time deadline, std::string& body);
    result<done> read_chunked_body(std::uint64_t max_bytes, steady_time deadline, std::string& body);
    [[nodiscard]] failure incomplete_body(steady_time deadline) const;
    [[nodiscard]] bool is_open() const { return this->peer.impl()->initialized(); }

    Poco::Net::StreamSocket peer;
    const clock& time;
    std::string received;       ///< bytes that are not consumed yet
    body_framing framing;       ///< of the current request
    bool is_request_read{true}; ///< the current request was read whole
    bool expects_continue{false};
    bool uses_http_1_0{false};
    bool has_ended{false}; ///< the client has closed its side of the connection
    bool has_request{false};
    bool is_closing{false};
};

} // namespace pomelohoist
