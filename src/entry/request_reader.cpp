#include "entry/request_reader.h"

#include "http/chunk_decoder.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/HTTPStream.h>

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

/// Waits for bytes of the body. A pause ends a read of POCO's, but not the body.
/// @returns false when the connection has ended, or at the deadline
bool wait_for_input(std::istream& stream, const Poco::Net::HTTPServerSession& session, const clock& time,
                    steady_time deadline) {
    while (time.now() < deadline) {
        if (stream.peek() != std::istream::traits_type::eof()) {
            return true;
        }
        const bool is_pause =
            stream.bad() && dynamic_cast<const Poco::TimeoutException*>(session.networkException()) != nullptr;
        if (!is_pause) {
            return false;
        }
        stream.clear();
    }
    return false;
}

failure incomplete_body(const clock& time, steady_time deadline) {
    return time.now() >= deadline ? failure{error_kind::request_timeout, "the body did not arrive in time"}
                                  : failure{error_kind::bad_request, "the connection ended within the body"};
}

std::size_t available_bytes(std::istream& stream) {
    return static_cast<std::size_t>(std::max<std::streamsize>(stream.rdbuf()->in_avail(), 1));
}

Poco::Net::HTTPServerSession& session_of(Poco::Net::HTTPServerRequest& request) {
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).session();
}

result<done> read_chunked_body(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                               std::uint64_t max_bytes, const clock& time, raw_request& raw) {
    const steady_time deadline = time.now() + config::body_read_timeout;
    Poco::Net::HTTPServerSession& session = session_of(request);
    // POCO's chunked stream ends in the same way at the last chunk, at a malformed one and at a lost connection.
    Poco::Net::HTTPInputStream stream{session};
    chunk_decoder decoder;
    std::string input;
    while (!decoder.is_done()) {
        if (!wait_for_input(stream, session, time, deadline)) {
            return incomplete_body(time, deadline);
        }
        const std::size_t arrived = available_bytes(stream);
        const std::size_t filled = input.size();
        input.resize(filled + arrived);
        stream.read(input.data() + filled, static_cast<std::streamsize>(arrived));
        decoder.decode(input, raw.body);
        if (decoder.is_malformed()) {
            return failure{error_kind::bad_request, "malformed chunks"};
        }
        if (raw.body.size() > max_bytes) {
            return failure{error_kind::payload_too_large, "the body exceeds " + std::to_string(max_bytes) + " bytes"};
        }
    }
    if (!input.empty() || stream.rdbuf()->in_avail() > 0) {
        // A next request has been read together with the end of the body; its caller sends it again.
        response.setKeepAlive(false);
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
        if (!wait_for_input(stream, session_of(request), time, deadline)) {
            return incomplete_body(time, deadline);
        }
        const std::size_t filled = raw.body.size();
        raw.body.resize(std::min(filled + available_bytes(stream), length));
        stream.read(raw.body.data() + filled, static_cast<std::streamsize>(raw.body.size() - filled));
    }
    return done{};
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
    return read_chunked_body(request, response, max_bytes, time, raw);
}

} // namespace pomelohoist
