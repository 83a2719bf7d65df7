#include "entry/http_response.h"

#include <Poco/Exception.h>

namespace pomelohoist {

http_response::http_response(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponse& response)
    : socket(request.socket()), http_out(response) {}

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

void http_response::send_response(const full_response& response) {
    try {
        this->set_head(response.http_status, response.headers);
        this->http_out.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
        std::ostream& body = this->http_out.send();
        body.write(response.body.data(), static_cast<std::streamsize>(response.body.size()));
        body.flush();
    } catch (const Poco::Exception&) {
        // The caller disconnected; the outcome of the request has already been determined.
        return;
    }
}

void http_response::begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) {
    try {
        this->set_head(http_status, headers);
        this->http_out.setChunkedTransferEncoding(true);
        this->stream = &this->http_out.send();
    } catch (const Poco::Exception&) {
        this->stream = nullptr;
    }
}

bool http_response::send_piece(const std::string& data) {
    if (this->stream == nullptr) {
        return false;
    }
    try {
        this->stream->write(data.data(), static_cast<std::streamsize>(data.size()));
        this->stream->flush();
        return this->stream->good();
    } catch (const Poco::Exception&) {
        return false;
    }
}

void http_response::end_stream() {
    if (this->stream != nullptr) {
        this->stream->flush();
    }
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
