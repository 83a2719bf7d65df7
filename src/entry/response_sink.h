#pragma once

#include "entry/error_response.h"
#include "inner/messages.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelohoist {

/// A complete response for the caller.
struct full_response {
    std::uint16_t http_status{0};
    std::vector<inner::header_field> headers;
    std::string body;

    friend bool operator==(const full_response&, const full_response&) = default;
};

/// Sends the response of one request to its caller.
/// @attention used by one thread, except for `is_disconnected`
class response_sink {
  public:
    virtual ~response_sink() = default;
    /// States when the caller's request ends. Until then a caller may pause while it takes the response.
    virtual void set_deadline(steady_time time) = 0;
    /// Adds a header field. Only before the response has begun.
    virtual void add_header(const std::string& name, const std::string& value) = 0;
    virtual void send_response(const full_response& response) = 0;
    /// Begins a response that is sent in pieces.
    virtual void begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) = 0;
    /// @returns false when the caller has disconnected
    virtual bool send_piece(const std::string& data) = 0;
    /// Ends a response that is sent in pieces.
    virtual void end_stream() = 0;
    virtual void send_failure(const request_failure& failed) = 0;
    /// @returns true when the caller has closed the connection; safe for any thread
    [[nodiscard]] virtual bool is_disconnected() = 0;
};

} // namespace pomelohoist
