#pragma once

#include "entry/response_sink.h"
#include "http/socket_writer.h"

#include <pomelohoist/clock.h>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <string_view>

namespace pomelohoist {

/// Sends the response to a caller over HTTP. A caller that does not take it in time is disconnected.
class http_response : public response_sink {
  public:
    http_response(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponse& response,
                  const clock& time_source);
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
    void set_head(std::uint16_t http_status, const std::vector<inner::header_field>& headers);
    [[nodiscard]] std::string encode_head() const;
    /// @returns true when the response may have a body
    [[nodiscard]] bool has_body() const;
    /// @returns false when the caller has been disconnected
    bool write(std::string_view bytes);
    void disconnect();

    Poco::Net::StreamSocket socket;
    Poco::Net::HTTPServerResponse& http_out;
    const bool is_head_request;
    socket_writer writer;
    steady_time deadline;
    bool is_stream_open{false};
    bool is_lost{false};
};

} // namespace pomelohoist
