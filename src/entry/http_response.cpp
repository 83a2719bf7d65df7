#include "entry/http_response.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>

#include <array>
#include <cstdio>
#include <sstream>

namespace pomelohoist {

namespace {

constexpr std::size_t max_joined_bytes = 65536; // a body up to this size is sent together with the head

std::string encode_chunk(const std::string& data) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace

http_response::http_response(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponse& response,
                             const clock& time_source)
    : socket(request.socket()), http_out(response),
      is_head_request(request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD), writer(socket, time_source),
      deadline(time_source.now()) {}

http_response::~http_response() {
    if (this->is_stream_open) {
        this->disconnect();
    }
}

void http_response::add_header(const std::string& name, const std::string& value) {
    this->http_out.set(name, value);
}

void http_response::set_head(std::uint16_t http_status, const std::vector<inner::header_field>& headers) {
    this->http_out.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(http_status));
    for (const inner::header_field& field : headers) {
        // Fields that the entry has set, such as the trace context, cover the full path from the caller to the
        // endpoint, so they take precedence over the endpoint's fields.
        if (!this->http_out.has(field.name)) {
            this->http_out.add(field.name, field.value);
        }
    }
}

std::string http_response::encode_head() const {
    std::ostringstream head;
    this->http_out.write(head);
    return head.str();
}

bool http_response::has_body() const {
    const int status = this->http_out.getStatus();
    return !this->is_head_request && status >= Poco::Net::HTTPResponse::HTTP_OK &&
           status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

bool http_response::write(std::string_view bytes) {
    if (!this->is_lost &&
        !this->writer.write(bytes, {this->deadline, config::response_write_stall, config::response_write_extension})) {
        this->disconnect();
    }
    return !this->is_lost;
}

void http_response::disconnect() {
    this->is_lost = true;
    this->is_stream_open = false;
    this->http_out.setKeepAlive(false);
    try {
        // A reset, because after an orderly close a truncated response without a length would look complete.
        this->socket.setLinger(true, 0);
        this->socket.close();
    } catch (const Poco::Exception&) {
        // The connection is already broken.
        return;
    }
}

void http_response::send_response(const full_response& response) {
    if (this->is_stream_open) {
        // A second head would be read as a part of the stream.
        this->disconnect();
        return;
    }
    this->set_head(response.http_status, response.headers);
    this->http_out.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
    std::string head = this->encode_head();
    if (!this->has_body()) {
        this->write(head);
    } else if (response.body.size() <= max_joined_bytes) {
        this->write(head += response.body);
    } else if (this->write(head)) {
        this->write(response.body);
    }
}

void http_response::begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) {
    this->set_head(http_status, headers);
    this->http_out.setChunkedTransferEncoding(true);
    this->is_stream_open = true;
    this->write(this->encode_head());
}

bool http_response::send_piece(const std::string& data) {
    // An empty chunk would end the stream.
    if (!this->is_stream_open || data.empty()) {
        return this->is_stream_open;
    }
    return this->has_body() ? this->write(encode_chunk(data)) : !this->is_lost;
}

void http_response::end_stream() {
    if (this->is_stream_open && this->has_body()) {
        this->write("0\r\n\r\n");
    }
    this->is_stream_open = false;
}

void http_response::send_failure(const request_failure& failed) {
    const error_response response = make_error_response(failed);
    std::vector<inner::header_field> headers{{"Content-Type", "application/json"}};
    if (response.retry_after_s != 0) {
        headers.push_back({"Retry-After", std::to_string(response.retry_after_s)});
    }
    this->send_response({response.http_status, headers, response.body});
}

bool http_response::is_disconnected() {
    try {
        return this->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) && this->socket.available() == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

} // namespace pomelohoist
