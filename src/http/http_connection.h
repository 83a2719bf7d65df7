#pragma once

#include "http/body_framing.h"
#include "http/cancellation.h"
#include "http/chunk_decoder.h"
#include "http/head_scanner.h"
#include "http/message_head.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

/// One HTTP connection to a server.
namespace pomelohoist {

/// Result of waiting for the server.
enum class exchange_state : std::uint8_t {
    ready,     ///< the head, or a piece of the body, has arrived
    complete,  ///< the body is complete
    broken,    ///< the connection is lost, or its bytes are no valid response
    timed_out, ///< nothing arrived in time
    cancelled, ///< its result is no longer wanted
    count
};

/// Carries one request at a time. Reads strictly by the framing of the response: bytes after the end of a response
/// belong to no request.
/// @attention used by one thread
class http_connection {
  public:
    /// @returns the connection, or `unreachable`
    static result<std::unique_ptr<http_connection>> open(const net_address& target, std::chrono::milliseconds timeout,
                                                         const clock& time_source);
    http_connection(const Poco::Net::StreamSocket& connected, const clock& time_source);
    /// Resets the connection if its response is not complete, so that nothing more of the request is sent.
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Begins to send a request. What the server does not take at once is sent while the response is read, so that a
    /// server that reads slowly, or not at all, holds nobody up longer than the wait for its response.
    /// @returns false when the connection was lost
    bool send(std::string bytes);
    /// Reads the head of the next final response; skips interim (1xx) responses.
    /// @param until time at which the wait for the head ends
    exchange_state read_head(bool is_head_request, steady_time until, cancellation& cancel,
                             http_response_head& response);
    /// Appends the part of the body that has arrived to `piece`.
    /// @returns `ready` after at least one byte, or `complete`
    exchange_state read_body(std::string& piece, steady_time until, cancellation& cancel);
    /// @returns true when the body has neither a length nor chunked coding and ends with the connection
    [[nodiscard]] bool is_unframed() const { return this->framing.form == body_framing::kind::until_close; }
    /// @returns why the bytes of the server are no valid response, or "" when nothing was wrong with them
    [[nodiscard]] const std::string& defect() const { return this->found_defect; }
    /// @returns true when another request may be sent on this connection
    [[nodiscard]] bool is_reusable() const { return this->can_reuse; }
    /// @returns true when the server has closed or reset the connection
    [[nodiscard]] bool is_lost() const { return this->has_ended; }
    /// @returns true when the server has closed the idle connection, or has sent bytes that belong to no request
    [[nodiscard]] bool is_unusable();

    /// When the connection became idle, and how long it may stay idle if the server states that.
    steady_time idle_since{};
    std::optional<std::chrono::milliseconds> idle_limit;

  private:
    /// Sends what the socket takes without blocking.
    /// @returns false when the connection was lost
    bool flush();
    [[nodiscard]] bool is_sending() const { return this->sent < this->outgoing.size(); }
    /// @returns true when the server's host has acknowledged the whole request
    [[nodiscard]] bool is_request_delivered() const;
    exchange_state wait_for_bytes(steady_time until, cancellation& cancel);
    /// @returns nothing when no bytes have arrived
    std::optional<exchange_state> receive();
    exchange_state parse_head(std::size_t length, bool is_head_request, http_response_head& response);
    /// @returns `broken`
    exchange_state report_defect(std::string reason);
    void record_reuse(const http_response_head& response);
    /// @returns nothing when more bytes are needed
    std::optional<exchange_state> extract_body(std::string& piece);

    Poco::Net::StreamSocket socket;
    const clock& time;
    std::string outgoing; ///< the request, until all of it is sent
    std::size_t sent{0};  ///< of `outgoing`
    std::string received; ///< bytes that are not consumed yet
    head_scanner scanner;
    body_framing framing; ///< of the current response; its length goes down as the body is read
    std::string found_defect;
    chunk_decoder chunks;
    bool has_ended{false}; ///< the server has closed its side of the connection
    bool can_reuse{false};
    bool is_response_pending{false}; ///< from the send of a request to the end of its response
};

} // namespace pomelohoist
