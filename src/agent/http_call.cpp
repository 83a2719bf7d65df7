#include "agent/http_call.h"

#include "http/http_client.h"
#include "http/status_code.h"

#include <pomelohoist/config.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <istream>
#include <optional>
#include <ostream>

namespace pomelohoist {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::StreamSocket;

constexpr std::int64_t microseconds_per_millisecond = 1000;
constexpr std::size_t read_buffer_bytes = 16384;
constexpr call_limits health_limits{std::chrono::milliseconds{500}, std::chrono::milliseconds{1000}, 64U << 10U};

// Headers that apply to one connection. They are not forwarded; each connection sets its own.
constexpr std::array<std::string_view, 7> connection_headers{
    "connection", "content-length", "host", "keep-alive", "te", "upgrade", "transfer-encoding"};

Poco::Timespan to_poco(std::chrono::milliseconds duration) {
    return Poco::Timespan{duration.count() * microseconds_per_millisecond};
}

bool is_connection_header(const std::string& name) {
    const std::string lower = Poco::toLower(name);
    return std::find(connection_headers.begin(), connection_headers.end(), lower) != connection_headers.end();
}

result<StreamSocket> connect(const net_address& target, std::chrono::milliseconds timeout) {
    try {
        StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress{target.ip, target.port}, to_poco(timeout));
        socket.setNoDelay(true);
        return socket;
    } catch (const Poco::Exception& error) {
        return failure{error_kind::not_ready, target.to_string() + ": " + error.displayText()};
    }
}

/// Shuts the socket down when the signal aborts. Must be destroyed before the socket is closed, so that the signal
/// never acts on a closed socket.
class scoped_abort {
  public:
    scoped_abort(abort_signal& run_signal, const StreamSocket& socket) : signal(run_signal) {
        this->signal.attach([copy = socket]() mutable {
            try {
                copy.shutdown();
            } catch (const Poco::Exception&) {
                // The endpoint has already closed the connection.
                return;
            }
        });
    }
    ~scoped_abort() { this->signal.detach(); }
    scoped_abort(const scoped_abort&) = delete;
    scoped_abort& operator=(const scoped_abort&) = delete;

  private:
    abort_signal& signal;
};

std::vector<inner::header_field> response_headers(const HTTPResponse& response) {
    std::vector<inner::header_field> headers;
    for (const auto& [name, value] : response) {
        if (!is_connection_header(name)) {
            headers.push_back({name, value});
        }
    }
    return headers;
}

void send_request(HTTPClientSession& session, const net_address& target, const endpoint_request& request) {
    HTTPRequest head{request.method, request.path, HTTPRequest::HTTP_1_1};
    for (const inner::header_field& header : request.headers) {
        if (!is_connection_header(header.name)) {
            head.set(header.name, header.value);
        }
    }
    head.setHost(target.to_string());
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    session.sendRequest(head).write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
}

/// @returns the number of body bytes, or nothing when the sink aborted the run
std::optional<std::uint64_t> forward_body(std::istream& body, endpoint_sink& sink) {
    std::array<char, read_buffer_bytes> buffer{};
    std::uint64_t total = 0;
    // peek() blocks until data arrives; in_avail() then allows reading it without waiting for a full buffer.
    while (body.peek() != std::istream::traits_type::eof()) {
        const auto available = std::clamp<std::streamsize>(body.rdbuf()->in_avail(), 1, buffer.size());
        const std::streamsize count = body.rdbuf()->sgetn(buffer.data(), available);
        total += static_cast<std::uint64_t>(count);
        if (!sink.on_data({buffer.data(), static_cast<std::size_t>(count)})) {
            return std::nullopt;
        }
    }
    return total;
}

/// @returns why the body may be truncated, or nothing when it is complete
std::optional<std::string> find_truncation(HTTPClientSession& session, const HTTPRequest& sent,
                                           const HTTPResponse& response, std::uint64_t received) {
    if (session.networkException() != nullptr) {
        return session.networkException()->displayText();
    }
    const bool has_body = sent.getMethod() != HTTPRequest::HTTP_HEAD && response.getStatus() >= HTTPResponse::HTTP_OK &&
                          response.getStatus() != HTTPResponse::HTTP_NO_CONTENT &&
                          response.getStatus() != HTTPResponse::HTTP_NOT_MODIFIED;
    if (!has_body) {
        return std::nullopt;
    }
    if (!response.getChunkedTransferEncoding()) {
        if (response.hasContentLength() && static_cast<std::uint64_t>(response.getContentLength64()) == received) {
            return std::nullopt;
        }
        return std::string{response.hasContentLength() ? "the body is shorter than its Content-Length"
                                                       : "the body has neither a length nor chunks"};
    }
    // POCO reports the end of a chunked body in the same way after its last chunk and after a lost connection. The
    // socket is still open only in the first case, and only on a keep-alive connection.
    StreamSocket socket = session.socket();
    if (socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ) && socket.available() == 0) {
        return std::string{"the connection was closed before the last chunk could be confirmed"};
    }
    return std::nullopt;
}

endpoint_report exchange(HTTPClientSession& session, const net_address& target, const endpoint_request& request,
                         endpoint_sink& sink) {
    send_request(session, target, request);
    HTTPResponse response;
    std::istream* body = &session.receiveResponse(response);
    // POCO skips 100 only, and accepts any number as a status and any word as a version.
    for (std::uint32_t i = 0; i < config::max_interim_responses && is_interim_status(response.getStatus()); ++i) {
        body = &session.receiveResponse(response);
    }
    if (!is_final_status(response.getStatus()) || !response.getVersion().starts_with("HTTP/1.")) {
        return {run_outcome::broken, "the endpoint sent no HTTP response"};
    }
    if (!sink.on_head(static_cast<std::uint16_t>(response.getStatus()), response_headers(response))) {
        return {run_outcome::aborted, "ended by the receiver"};
    }
    const std::optional<std::uint64_t> received = forward_body(*body, sink);
    if (!received) {
        return {run_outcome::aborted, "ended by the receiver"};
    }
    const HTTPRequest sent{request.method, request.path};
    const std::optional<std::string> truncation = find_truncation(session, sent, response, *received);
    return truncation ? endpoint_report{run_outcome::broken, *truncation} : endpoint_report{run_outcome::completed, ""};
}

} // namespace

endpoint_report run_http(const net_address& target, const endpoint_request& request, endpoint_sink& sink,
                         abort_signal& signal) {
    const result<StreamSocket> connected = connect(target, config::connect_timeout);
    if (!connected) {
        return {run_outcome::refused, connected.last_error().reason};
    }
    if (signal.is_aborted()) {
        return {run_outcome::refused, "ended before anything was sent"};
    }
    sink.on_send();
    // A session that is created from a socket has no host name, so it cannot reconnect and send the request again.
    HTTPClientSession session{*connected};
    session.setKeepAlive(true);
    session.setTimeout(to_poco(config::default_request_deadline));
    const scoped_abort attached{signal, *connected};
    endpoint_report report;
    try {
        report = exchange(session, target, request, sink);
    } catch (const Poco::Exception& error) {
        report = {run_outcome::broken, error.displayText()};
    } catch (const std::exception& error) {
        report = {run_outcome::broken, error.what()};
    }
    if (report.outcome == run_outcome::broken && signal.is_aborted()) {
        report.outcome = run_outcome::aborted;
    }
    return report;
}

result<endpoint_health> check_http_health(const net_address& target) {
    const system_clock time;
    http_client client{target, time};
    const result<http_reply> received = client.call({"GET", "/health"}, health_limits);
    if (!received) {
        return failure{error_kind::not_ready, received.last_error().reason};
    }
    if (received->head.status != HTTPResponse::HTTP_OK) {
        return failure{error_kind::not_ready, "health status " + std::to_string(received->head.status)};
    }
    const auto parsed = nlohmann::json::parse(received->body, nullptr, false);
    const bool has_boot_id = parsed.is_object() && parsed.contains("boot_id") && parsed.at("boot_id").is_string();
    return endpoint_health{has_boot_id ? parsed.at("boot_id").get<std::string>() : ""};
}

} // namespace pomelohoist
