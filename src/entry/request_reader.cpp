#include "entry/request_reader.h"

#include <pomelohoist/config.h>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <istream>

namespace pomelohoist {

namespace {

result<done> check_limits(const Poco::Net::HTTPServerRequest& request) {
    if (request.size() > config::max_header_fields) {
        return failure{error_kind::header_too_large,
                       "more than " + std::to_string(config::max_header_fields) + " header fields"};
    }
    if (request.getChunkedTransferEncoding()) {
        // Poco's stream ends in the same way at the last chunk and at a lost connection, and a truncated request must
        // not run.
        return failure{error_kind::bad_request, "Content-Length is required; chunked request bodies are not accepted"};
    }
    if (request.hasContentLength() && request.getContentLength64() < 0) {
        return failure{error_kind::bad_request, "malformed Content-Length"};
    }
    if (request.hasContentLength() &&
        static_cast<std::uint64_t>(request.getContentLength64()) > config::max_body_bytes) {
        return failure{error_kind::payload_too_large,
                       "the body exceeds " + std::to_string(config::max_body_bytes) + " bytes"};
    }
    return done{};
}

} // namespace

raw_request read_header(const Poco::Net::HTTPServerRequest& request) {
    raw_request raw;
    raw.method = request.getMethod();
    raw.target = request.getURI();
    for (const auto& [name, value] : request) {
        raw.headers.push_back({name, value});
    }
    return raw;
}

result<done> read_body(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                       const clock& time, raw_request& raw) {
    result<done> allowed = check_limits(request);
    if (!allowed || !request.hasContentLength()) {
        return allowed;
    }
    if (request.getExpectContinue()) {
        response.sendContinue();
    }
    const auto length = static_cast<std::size_t>(request.getContentLength64());
    const steady_time deadline = time.now() + config::body_read_timeout;
    std::istream& stream = request.stream();
    // Each iteration reads only the bytes that have arrived, so that the deadline is also checked for a caller that
    // sends single bytes.
    while (raw.body.size() < length) {
        if (time.now() >= deadline) {
            return failure{error_kind::request_timeout, "the body did not arrive in time"};
        }
        if (stream.peek() == std::istream::traits_type::eof()) {
            break;
        }
        const auto arrived = static_cast<std::size_t>(std::max<std::streamsize>(stream.rdbuf()->in_avail(), 1));
        const std::size_t filled = raw.body.size();
        raw.body.resize(std::min(filled + arrived, length));
        stream.read(raw.body.data() + filled, static_cast<std::streamsize>(raw.body.size() - filled));
    }
    if (raw.body.size() == length) {
        return done{};
    }
    if (time.now() >= deadline) {
        return failure{error_kind::request_timeout, "the body did not arrive in time"};
    }
    return failure{error_kind::bad_request, "the connection ended within the body"};
}

result<done> read_any_body(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                           std::uint64_t max_bytes, const clock& time, raw_request& raw) {
    if (!request.getChunkedTransferEncoding()) {
        if (request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING)) {
            return failure{error_kind::bad_request, "unknown transfer coding"};
        }
        return read_body(request, response, time, raw);
    }
    if (request.hasContentLength()) {
        return failure{error_kind::bad_request, "a length and chunks at once"};
    }
    if (request.getExpectContinue()) {
        response.sendContinue();
    }
    const steady_time deadline = time.now() + config::body_read_timeout;
    std::istream& stream = request.stream();
    while (stream.peek() != std::istream::traits_type::eof()) {
        const auto arrived = static_cast<std::size_t>(std::max<std::streamsize>(stream.rdbuf()->in_avail(), 1));
        const std::size_t filled = raw.body.size();
        if (filled + arrived > max_bytes) {
            return failure{error_kind::payload_too_large, "the body exceeds " + std::to_string(max_bytes) + " bytes"};
        }
        if (time.now() >= deadline) {
            return failure{error_kind::request_timeout, "the body did not arrive in time"};
        }
        raw.body.resize(filled + arrived);
        stream.read(raw.body.data() + filled, static_cast<std::streamsize>(arrived));
    }
    // The stream ends in the same way at the last chunk and at a lost connection, so a closed connection is taken for a
    // truncated body, which must not run. A caller that has closed its side of the connection gets no response in
    // any case, so refusing it loses nothing even when its body was complete.
    Poco::Net::StreamSocket& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    if (socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) && socket.available() == 0) {
        return failure{error_kind::bad_request, "the connection ended within the body"};
    }
    return done{};
}

} // namespace pomelohoist
