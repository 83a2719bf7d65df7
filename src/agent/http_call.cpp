#include "agent/http_call.h"

#include "http/cancellation.h"
#include "http/connection_fields.h"
#include "http/field_syntax.h"
#include "http/http_client.h"
#include "http/http_connection.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace pomelohoist {

namespace {

using Poco::Net::StreamSocket;

constexpr std::int64_t microseconds_per_millisecond = 1000;
constexpr std::uint16_t status_ok = 200;
constexpr call_limits health_limits{std::chrono::milliseconds{500}, std::chrono::milliseconds{1000}, 64U << 10U};

Poco::Timespan to_poco(std::chrono::milliseconds duration) {
    return Poco::Timespan{duration.count() * microseconds_per_millisecond};
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

/// @returns head and body, or `internal` when a field cannot be written
result<std::string> encode(const net_address& target, const endpoint_request& request) {
    std::vector<inner::header_field> headers = end_to_end_fields(request.headers);
    std::erase_if(headers, [](const inner::header_field& field) { return equals_ignoring_case(field.name, "host"); });
    headers.push_back({"Host", target.to_string()});
    headers.push_back({"Content-Length", std::to_string(request.body.size())});
    result<std::string> bytes = encode_request_head(request.method, request.path, headers);
    if (bytes) {
        *bytes += request.body;
    }
    return bytes;
}

endpoint_report broken(const http_connection& connection, exchange_state state) {
    if (!connection.defect().empty()) {
        return {run_outcome::broken, connection.defect()};
    }
    return {run_outcome::broken, state == exchange_state::timed_out ? "the endpoint did not respond in time"
                                                                    : "the endpoint closed the connection"};
}

endpoint_report exchange(http_connection& connection, std::string bytes, bool is_head_request, endpoint_sink& sink,
                         const clock& time) {
    no_cancellation none; // `scoped_abort` ends each wait
    if (!connection.send(std::move(bytes))) {
        return broken(connection, exchange_state::broken);
    }
    http_response_head head;
    exchange_state state =
        connection.read_head(is_head_request, time.now() + config::default_request_deadline, none, head);
    if (state != exchange_state::ready) {
        return broken(connection, state);
    }
    if (!sink.on_head(head.status, response_fields(head.headers, is_head_request))) {
        return {run_outcome::aborted, "ended by the receiver"};
    }
    while (state == exchange_state::ready) {
        std::string piece;
        state = connection.read_body(piece, time.now() + config::default_request_deadline, none);
        if (!piece.empty() && !sink.on_data(piece)) {
            return {run_outcome::aborted, "ended by the receiver"};
        }
    }
    if (state != exchange_state::complete) {
        return broken(connection, state);
    }
    if (connection.is_unframed()) {
        return {run_outcome::broken, "the body has neither a length nor chunks"};
    }
    return {run_outcome::completed, ""};
}

} // namespace

endpoint_report run_http(const net_address& target, const endpoint_request& request, endpoint_sink& sink,
                         abort_signal& signal) {
    result<std::string> bytes = encode(target, request);
    if (!bytes) {
        return {run_outcome::refused, bytes.last_error().reason};
    }
    const result<StreamSocket> connected = connect(target, config::connect_timeout);
    if (!connected) {
        return {run_outcome::refused, connected.last_error().reason};
    }
    if (signal.is_aborted()) {
        return {run_outcome::refused, "ended before anything was sent"};
    }
    sink.on_send();
    const system_clock time;
    http_connection connection{*connected, time};
    const scoped_abort attached{signal, *connected};
    endpoint_report report = exchange(connection, std::move(*bytes), request.method == "HEAD", sink, time);
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
    if (received->head.status != status_ok) {
        return failure{error_kind::not_ready, "health status " + std::to_string(received->head.status)};
    }
    const auto parsed = nlohmann::json::parse(received->body, nullptr, false);
    const bool has_boot_id = parsed.is_object() && parsed.contains("boot_id") && parsed.at("boot_id").is_string();
    return endpoint_health{has_boot_id ? parsed.at("boot_id").get<std::string>() : ""};
}

} // namespace pomelohoist
