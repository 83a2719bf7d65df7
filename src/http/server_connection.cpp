#include "http/server_connection.h"

#include "http/chunk_decoder.h"
#include "http/connection_fields.h"
#include "http/field_syntax.h"
#include "http/head_scanner.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t read_buffer_bytes = 8192;
constexpr std::size_t max_poll_ms = 60000;
constexpr std::size_t max_first_reserve = 65536; // a length is only a promise until its bytes arrive
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

bool expects_interim_response(const request_head& head) {
    return std::any_of(head.headers.begin(), head.headers.end(), [](const inner::header_field& field) {
        return equals_ignoring_case(field.name, "expect") && equals_ignoring_case(field.value, "100-continue");
    });
}

} // namespace

bool server_connection::receive(steady_time until) {
    while (!this->has_ended && this->is_open()) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(until - this->time.now()).count();
        if (remaining <= 0) {
            return false;
        }
        pollfd watched{this->peer.impl()->sockfd(), POLLIN, 0};
        const int ready = ::poll(&watched, 1, static_cast<int>(std::min<long long>(remaining, max_poll_ms)));
        if (ready == 0 || (ready < 0 && errno == EINTR)) {
            continue;
        }
        std::array<char, read_buffer_bytes> buffer{};
        const auto count = ::recv(watched.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            this->received.append(buffer.data(), static_cast<std::size_t>(count));
            return true;
        }
        this->has_ended = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
    return false;
}

result<std::optional<request_head>> server_connection::read_head(const head_limits& limits) {
    const bool is_first = !std::exchange(this->has_request, true);
    this->is_request_read = false;
    head_scanner scanner;
    steady_time until = this->time.now() + (is_first ? limits.first_wait : limits.idle);
    bool has_begun = false;
    while (true) {
        // A line end after the body before is no part of a request (RFC 9112, section 2.2).
        while (!has_begun && this->received.starts_with(line_end)) {
            this->received.erase(0, line_end.size());
        }
        if (!has_begun && !this->received.empty() && this->received != "\r") {
            has_begun = true;
            until = this->time.now() + limits.total;
        }
        const head_scanner::state scanned = has_begun ? scanner.scan(this->received) : head_scanner::state::incomplete;
        if (scanned == head_scanner::state::malformed) {
            return failure{error_kind::bad_request, "a control character in the head"};
        }
        const bool is_complete = scanned == head_scanner::state::complete;
        if ((is_complete ? scanner.length() : this->received.size()) > limits.bytes) {
            return failure{error_kind::header_too_large, "the head exceeds " + std::to_string(limits.bytes) + " bytes"};
        }
        if (is_complete) {
            return this->take_head(scanner.length(), limits);
        }
        if (!this->receive(until)) {
            if (!has_begun || this->has_ended || !this->is_open()) {
                this->is_request_read = true; // there is none
                return std::optional<request_head>{};
            }
            return failure{error_kind::request_timeout, "the head did not arrive in time"};
        }
    }
}

result<std::optional<request_head>> server_connection::take_head(std::size_t length, const head_limits& limits) {
    result<request_head> head = parse_request_head(std::string_view{this->received}.substr(0, length));
    if (!head) {
        return head.last_error();
    }
    this->received.erase(0, length);
    if (limits.fields && head->headers.size() > *limits.fields) {
        return failure{error_kind::header_too_large, "more than " + std::to_string(*limits.fields) + " header fields"};
    }
    const result<body_framing> stated = request_framing(*head);
    if (!stated) {
        return stated.last_error();
    }
    this->framing = *stated;
    this->is_request_read = this->framing.form == body_framing::kind::none ||
                            (this->framing.form == body_framing::kind::length && this->framing.bytes == 0);
    this->uses_http_1_0 = head->is_http_1_0;
    this->expects_continue = !this->uses_http_1_0 && expects_interim_response(*head);
    this->is_closing = this->is_closing || has_connection_option(head->headers, "close") ||
                       (this->uses_http_1_0 && !has_connection_option(head->headers, "keep-alive"));
    return std::optional<request_head>{std::move(*head)};
}

result<done> server_connection::read_body(std::uint64_t max_bytes, steady_time deadline, std::string& body) {
    if (this->is_request_read) {
        return done{};
    }
    if (this->framing.bytes > max_bytes) {
        return failure{error_kind::payload_too_large, "the body exceeds " + std::to_string(max_bytes) + " bytes"};
    }
    if (std::exchange(this->expects_continue, false)) {
        socket_writer writer{this->peer, this->time};
        const std::chrono::milliseconds none{0};
        if (!writer.write(continue_response, {deadline, none, none})) {
            return failure{error_kind::bad_request, "the connection ended within the body"};
        }
    }
    result<done> read = this->framing.form == body_framing::kind::chunked
                            ? this->read_chunked_body(max_bytes, deadline, body)
                            : this->read_sized_body(deadline, body);
    this->is_request_read = read.has_value();
    return read;
}

result<done> server_connection::read_sized_body(steady_time deadline, std::string& body) {
    body.reserve(std::min<std::uint64_t>(this->framing.bytes, max_first_reserve));
    while (true) {
        const std::size_t count = std::min<std::uint64_t>(this->framing.bytes, this->received.size());
        body.append(this->received, 0, count);
        this->received.erase(0, count);
        this->framing.bytes -= count;
        if (this->framing.bytes == 0) {
            return done{};
        }
        if (!this->receive(deadline)) {
            return this->incomplete_body(deadline);
        }
    }
}

result<done> server_connection::read_chunked_body(std::uint64_t max_bytes, steady_time deadline, std::string& body) {
    chunk_decoder decoder;
    while (true) {
        decoder.decode(this->received, body);
        if (decoder.is_malformed()) {
            return failure{error_kind::bad_request, "malformed chunks"};
        }
        if (body.size() > max_bytes) {
            return failure{error_kind::payload_too_large, "the body exceeds " + std::to_string(max_bytes) + " bytes"};
        }
        if (decoder.is_done()) {
            return done{};
        }
        if (!this->receive(deadline)) {
            return this->incomplete_body(deadline);
        }
    }
}

failure server_connection::incomplete_body(steady_time deadline) const {
    return this->time.now() >= deadline ? failure{error_kind::request_timeout, "the body did not arrive in time"}
                                        : failure{error_kind::bad_request, "the connection ended within the body"};
}

bool server_connection::stays_open() const {
    return this->is_open() && !this->is_closing && this->is_request_read;
}

void server_connection::end_gracefully() {
    if (this->is_request_read) {
        return;
    }
    try {
        this->peer.shutdownSend();
    } catch (const Poco::Exception&) {
        // The connection is already broken.
        return;
    }
    std::size_t dropped = 0;
    const steady_time until = this->time.now() + config::closing_wait;
    while (dropped <= config::max_closing_bytes && this->receive(until)) {
        dropped += this->received.size();
        this->received.clear();
    }
}

} // namespace pomelohoist
