#pragma once

#include "entry/response_sink.h"
#include "http/server_connection.h"
#include "http/socket_writer.h"

#include <pomelohoist/clock.h>

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohoist {

/// Sends the response to a caller over HTTP. A caller that does not take it in time is disconnected.
class http_response : public response_sink {
  public:
    /// @param request_method of the request whose response this is
    http_response(server_connection& caller, const std::string& request_method, const clock& time_source);
    /// Disconnects the caller if a stream has not been ended, which thus cannot look complete.
    ~http_response() override;
    http_response(const http_response&) = delete;
    http_response& operator=(const http_response&) = delete;

    void set_deadline(steady_time time) override { this->deadline = time; }
    void add_header(const std::string& name, const std::string& value) override;
    void send_response(const full_response& response) override;
    void begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) override;
    bool send_piece(const std::string& data) override;
    void end_stream() override;
    void send_failure(const request_failure& failed) override;
    [[nodiscard]] bool is_disconnected() override;

  private:
    /// @param framing field that states the length or the coding of the body, if the response has one
    /// @returns the bytes of the head, or nothing when a field cannot be written
    [[nodiscard]] std::optional<std::string> encode_head(std::uint16_t http_status,
                                                         const std::vector<inner::header_field>& headers,
                                                         const std::optional<inner::header_field>& framing);
    /// Sends an error in place of a response whose head cannot be written.
    void send_unwritable();
    /// @returns true when the response may have a body
    [[nodiscard]] bool has_body(std::uint16_t http_status) const;
    /// @returns false when the caller has been disconnected
    bool write(std::string_view bytes);
    void disconnect();

    server_connection& connection;
    Poco::Net::StreamSocket socket;
    const clock& time;
    const bool is_head_request;
    std::vector<inner::header_field> own_headers; ///< set by the entry; replace the endpoint's of the same name
    socket_writer writer;
    steady_time deadline;
    bool is_stream_open{false};
    bool is_chunked{false};
    bool has_stream_body{false};
    bool is_lost{false};
};

} // namespace pomelohoist
