#pragma once

#include "entry/response_sink.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <ostream>

namespace pomelohoist {

/// Sends the response to a caller over HTTP.
class http_response : public response_sink {
  public:
    http_response(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponse& response);

    void add_header(const std::string& name, const std::string& value) override;
    void send_response(const full_response& response) override;
    void begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) override;
    bool send_piece(const std::string& data) override;
    void end_stream() override;
    void send_failure(const request_failure& failed) override;
    [[nodiscard]] bool is_disconnected() override;

  private:
    void set_head(std::uint16_t http_status, const std::vector<inner::header_field>& headers);

    Poco::Net::StreamSocket socket;
    Poco::Net::HTTPServerResponse& http_out;
    std::ostream* stream{nullptr};
};

} // namespace pomelohoist
