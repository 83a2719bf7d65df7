#include "support/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>

#include <array>
#include <istream>

namespace pomelohoist::test_support {

namespace {

constexpr std::size_t read_bytes = 8192;
constexpr long long microseconds_per_millisecond = 1000;
// Entry of `http_response::headers` that holds the reason why a response is missing or incomplete.
constexpr const char* incomplete_reason_field = "incomplete";

using steady = std::chrono::steady_clock;

std::chrono::microseconds since(steady::time_point begin) {
    return std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - begin);
}

/// Reads the body until it ends or the sink returns false.
/// @returns false when the sink returned false
bool read_body(std::istream& stream, http_response& response, const body_sink& sink, steady::time_point begin) {
    std::array<char, read_bytes> buffer{};
    while (stream.good()) {
        stream.read(buffer.data(), 1);
        if (stream.gcount() == 0) {
            return true;
        }
        std::string piece{buffer[0]};
        const std::streamsize more = stream.readsome(buffer.data(), buffer.size());
        piece.append(buffer.data(), static_cast<std::size_t>(more));
        if (response.body.empty()) {
            response.first_byte = since(begin);
        }
        response.body += piece;
        if (sink && !sink(piece)) {
            return false;
        }
    }
    return true;
}

/// POCO reports the same end of stream for the last chunk of a body and for a lost connection. The body is complete if
/// the keep-alive connection is still open. A server that is stopping may close it after the last chunk; an event
/// stream is therefore also complete if it ends with its end mark.
bool is_chunked_body_complete(Poco::Net::HTTPClientSession& session, const std::string& body) {
    const std::string end_mark = "data: [DONE]\n\n";
    if (body.size() >= end_mark.size() && body.compare(body.size() - end_mark.size(), end_mark.size(), end_mark) == 0) {
        return true;
    }
    return session.connected() && !session.socket().poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ);
}

} // namespace

http_response send_http(const net_address& target, const http_request& request, const body_sink& sink) {
    http_response response;
    const auto begin = steady::now();
    try {
        Poco::Net::HTTPClientSession session{target.ip, target.port};
        session.setTimeout(Poco::Timespan{request.timeout.count() * microseconds_per_millisecond});
        Poco::Net::HTTPRequest outgoing{request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1};
        outgoing.setKeepAlive(true);
        session.setKeepAlive(true);
        for (const auto& [name, value] : request.headers) {
            outgoing.set(name, value);
        }
        if (!request.body.empty()) {
            outgoing.setContentLength(static_cast<std::streamsize>(request.body.size()));
        }
        session.sendRequest(outgoing) << request.body << std::flush;
        Poco::Net::HTTPResponse incoming;
        std::istream& stream = session.receiveResponse(incoming);
        for (const auto& [name, value] : incoming) {
            response.headers[name] = value;
        }
        response.status = static_cast<std::uint16_t>(incoming.getStatus());
        const bool read_to_end = read_body(stream, response, sink, begin);
        const bool has_length = incoming.hasContentLength();
        const bool is_short =
            has_length && response.body.size() < static_cast<std::size_t>(incoming.getContentLength64());
        const bool is_cut = incoming.getChunkedTransferEncoding() && !is_chunked_body_complete(session, response.body);
        response.complete =
            read_to_end && !is_short && !is_cut && !stream.bad() && session.networkException() == nullptr;
    } catch (const Poco::Exception& error) {
        response.headers[incomplete_reason_field] = error.displayText();
    }
    response.total = since(begin);
    return response;
}

} // namespace pomelohoist::test_support
