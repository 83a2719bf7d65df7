#pragma once

#include "direct/caller_watchpoint.h"
#include "direct/chunk_decoder.h"
#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One HTTP connection to an endpoint.
namespace pomelohoist {

/// How waiting for an endpoint ended.
enum class exchange_state : std::uint8_t {
    ready,       ///< the head, or a piece of the body, is there
    complete,    ///< the body is whole
    broken,      ///< the connection is lost, or its bytes are no answer
    timed_out,   ///< nothing came in time
    caller_gone, ///< the caller has left
    count
};

struct endpoint_answer {
    std::uint16_t status{0};
    std::vector<inner::header_field> headers;

    /// @returns the value of the first field with that name in any case, or nothing
    [[nodiscard]] std::optional<std::string> header(const std::string& name) const;
    friend bool operator==(const endpoint_answer&, const endpoint_answer&) = default;
};

/// Carries one request at a time. Reads strictly by the framing of the answer: bytes after it belong to no request.
/// @attention used by one thread
class endpoint_connection {
  public:
    /// @returns the connection, or `unreachable`
    static result<std::unique_ptr<endpoint_connection>>
    open(const net_address& target, std::chrono::milliseconds timeout, const clock& time_source);
    endpoint_connection(const Poco::Net::StreamSocket& connected, const clock& time_source);

    /// @returns false when the connection was lost
    bool send(const std::string& bytes);
    /// Reads the head of the next answer.
    /// @param until latest time, absolute
    exchange_state read_head(bool is_head_request, steady_time until, caller_watchpoint& caller,
                             endpoint_answer& answer);
    /// Appends what has come of the body.
    /// @returns `ready` after at least one byte, or `complete`
    exchange_state read_body(std::string& piece, steady_time until, caller_watchpoint& caller);
    /// @returns true when the body had neither a length nor chunks and ended with the connection
    [[nodiscard]] bool is_unframed() const { return this->body_framing == framing::until_close; }
    /// @returns true when another request may follow on this connection
    [[nodiscard]] bool is_reusable() const { return this->can_reuse; }
    /// @returns true when the endpoint has closed the idle connection, or has sent bytes that belong to no request
    [[nodiscard]] bool is_spoilt();

    /// When the connection was put aside, and how long it may be idle.
    steady_time idle_since{};
    std::chrono::milliseconds idle_limit{0};

  private:
    enum class framing : std::uint8_t { none, length, chunked, until_close, count };

    exchange_state wait_for_bytes(steady_time until, caller_watchpoint& caller);
    exchange_state take_head(std::size_t end, bool is_head_request, endpoint_answer& answer);
    bool choose_framing(bool is_head_request, const endpoint_answer& answer);
    void note_reuse(const endpoint_answer& answer);
    /// @returns nothing when more bytes are needed
    std::optional<exchange_state> take_body(std::string& piece);

    Poco::Net::StreamSocket socket;
    const clock& time;
    std::string received; ///< bytes that are not consumed yet
    framing body_framing{framing::none};
    std::uint64_t body_left{0};
    chunk_decoder chunks;
    bool has_ended{false}; ///< the endpoint has closed its side
    bool can_reuse{false};
};

} // namespace pomelohoist
