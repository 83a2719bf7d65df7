#include "entry/http_response.h"

#include <Poco/Exception.h>

namespace pomelohoist {

http_response::http_response(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponse& reply)
    : socket(request.socket()), response(reply) {}

void http_response::add_header(const std::string& name, const std::string& value) {
    this->response.set(name, value);
}

void http_response::set_head(std::uint16_t http_status, const std::vector<inner::header_field>& headers) {
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(http_status));
    for (const inner::header_field& field : headers) {
        // The entry's own fields, such as the trace context, stand for the whole path.
        if (!this->response.has(field.name)) {
            this->response.add(field.name, field.value);
        }
    }
}

void http_response::send_response(const full_response& answer) {
    try {
        this->set_head(answer.http_status, answer.headers);
        this->response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
        std::ostream& body = this->response.send();
        body.write(answer.body.data(), static_cast<std::streamsize>(answer.body.size()));
        body.flush();
    } catch (const Poco::Exception&) {
        // The caller is gone; the request has its outcome already.
        return;
    }
}

void http_response::begin_stream(std::uint16_t http_status, const std::vector<inner::header_field>& headers) {
    try {
        this->set_head(http_status, headers);
        this->response.setChunkedTransferEncoding(true);
        this->stream = &this->response.send();
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
    const error_reply reply = make_error_reply(failed);
    std::vector<inner::header_field> headers{{"Content-Type", "application/json"}};
    if (reply.retry_after_s != 0) {
        headers.push_back({"Retry-After", std::to_string(reply.retry_after_s)});
    }
    this->send_response({reply.http_status, headers, reply.body});
}

bool http_response::is_disconnected() {
    try {
        return this->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) && this->socket.available() == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

} // namespace pomelohoist
