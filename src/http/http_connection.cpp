#include "http/http_connection.h"

#include "http/connection_fields.h"
#include "http/status_code.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pomelohoist {

namespace {

constexpr std::size_t read_buffer_bytes = 16384;
constexpr long long microseconds_per_millisecond = 1000;
constexpr std::size_t max_poll_ms = 60000;

/// @returns the number in "timeout=N" of a Keep-Alive field, in seconds
std::optional<int> keep_alive_seconds(const std::string& value) {
    const std::string name = "timeout=";
    const std::size_t begin = value.find(name);
    int seconds = 0;
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t from = begin + name.size();
    const std::string digits = value.substr(from, value.find_first_of(", ;", from) - from);
    return Poco::NumberParser::tryParse(digits, seconds) ? std::optional{seconds} : std::nullopt;
}

} // namespace

result<std::unique_ptr<http_connection>>
http_connection::open(const net_address& target, std::chrono::milliseconds timeout, const clock& time_source) {
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress{target.ip, target.port},
                       Poco::Timespan{timeout.count() * microseconds_per_millisecond});
        socket.setNoDelay(true);
        return std::make_unique<http_connection>(socket, time_source);
    } catch (const Poco::Exception& error) {
        return failure{error_kind::unreachable, target.to_string() + ": " + error.displayText()};
    }
}

http_connection::http_connection(const Poco::Net::StreamSocket& connected, const clock& time_source)
    : socket(connected), time(time_source) {}

http_connection::~http_connection() {
    if (!this->is_response_pending) {
        return;
    }
    try {
        // After an orderly close, the request would still be sent to a frozen host when it wakes, and be run for
        // nobody.
        this->socket.setLinger(true, 0);
        this->socket.close();
    } catch (const Poco::Exception&) {
        // The connection is already broken.
        return;
    }
}

bool http_connection::send(std::string bytes) {
    this->is_response_pending = true;
    this->can_reuse = false;
    this->received.clear();
    this->found_defect.clear();
    this->outgoing = std::move(bytes);
    this->sent = 0;
    return this->flush();
}

bool http_connection::flush() {
    const int own = this->socket.impl()->sockfd();
    while (this->is_sending()) {
        const auto count = ::send(own, this->outgoing.data() + this->sent, this->outgoing.size() - this->sent,
                                  MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        this->sent += static_cast<std::size_t>(count);
    }
    // Frees the memory of a large request while its response is awaited.
    this->outgoing = std::string{};
    this->sent = 0;
    return true;
}

bool http_connection::is_request_delivered() const {
    // A request that was not sent whole would be continued by the next one. The kernel may still hold megabytes of a
    // request that the server has responded to early; the next request would wait behind them. A server that has
    // received the whole request has acknowledged it with its response at the latest.
    int unacknowledged = 0;
    return !this->is_sending() && ::ioctl(this->socket.impl()->sockfd(), SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

exchange_state http_connection::wait_for_bytes(steady_time until, cancellation& cancel) {
    const int own = this->socket.impl()->sockfd();
    bool can_send = true;
    while (true) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(until - this->time.now()).count();
        if (remaining <= 0) {
            return exchange_state::timed_out;
        }
        const auto events = static_cast<short>(can_send && this->is_sending() ? POLLIN | POLLOUT : POLLIN);
        std::array<pollfd, 2> watched{pollfd{own, events, 0}, pollfd{cancel.descriptor(), cancel.events(), 0}};
        const int ready =
            ::poll(watched.data(), watched.size(), static_cast<int>(std::min<long long>(remaining, max_poll_ms)));
        if (ready < 0 && errno != EINTR) {
            return exchange_state::broken;
        }
        if (ready > 0 && watched[1].revents != 0 && cancel.is_cancelled()) {
            return exchange_state::cancelled;
        }
        if (ready <= 0 || watched[0].revents == 0) {
            continue;
        }
        if (const std::optional<exchange_state> arrived = this->receive()) {
            return *arrived;
        }
        // The server may have responded before it closed its side; that response is still read.
        can_send = can_send && this->flush();
    }
}

std::optional<exchange_state> http_connection::receive() {
    std::array<char, read_buffer_bytes> buffer{};
    const auto count = ::recv(this->socket.impl()->sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        this->received.append(buffer.data(), static_cast<std::size_t>(count));
        return exchange_state::ready;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return std::nullopt;
    }
    this->has_ended = true;
    return count == 0 ? exchange_state::ready : exchange_state::broken;
}

exchange_state http_connection::read_head(bool is_head_request, steady_time until, cancellation& cancel,
                                          http_response_head& response) {
    std::uint32_t interim_responses = 0;
    this->scanner = head_scanner{};
    while (true) {
        const head_scanner::state scanned = this->scanner.scan(this->received);
        if (scanned == head_scanner::state::malformed) {
            return this->report_defect("a control character in the head");
        }
        if (scanned == head_scanner::state::complete) {
            const exchange_state parse_state = this->parse_head(this->scanner.length(), is_head_request, response);
            if (parse_state != exchange_state::ready || is_final_status(response.status)) {
                return parse_state;
            }
            if (++interim_responses > config::max_interim_responses) {
                return this->report_defect("too many interim responses");
            }
            this->scanner = head_scanner{};
            continue; // skips an interim (1xx) response
        }
        if (this->received.size() > config::max_response_head_bytes) {
            return this->report_defect("the head exceeds " + std::to_string(config::max_response_head_bytes) +
                                       " bytes");
        }
        if (this->has_ended) {
            return exchange_state::broken;
        }
        const exchange_state wait_state = this->wait_for_bytes(until, cancel);
        if (wait_state != exchange_state::ready) {
            return wait_state;
        }
    }
}

exchange_state http_connection::parse_head(std::size_t length, bool is_head_request, http_response_head& response) {
    result<http_response_head> parsed = parse_response_head(std::string_view{this->received}.substr(0, length));
    if (!parsed) {
        return this->report_defect(parsed.last_error().reason);
    }
    this->received.erase(0, length);
    response = std::move(*parsed);
    const result<body_framing> stated = response_framing(response, is_head_request);
    if (!stated) {
        return this->report_defect(stated.last_error().reason);
    }
    this->framing = *stated;
    this->chunks = chunk_decoder{};
    this->record_reuse(response);
    return exchange_state::ready;
}

exchange_state http_connection::report_defect(std::string reason) {
    this->found_defect = std::move(reason);
    return exchange_state::broken;
}

void http_connection::record_reuse(const http_response_head& response) {
    this->can_reuse = !this->is_unframed() && !has_connection_option(response.headers, "close");
    this->idle_limit.reset();
    const std::optional<std::string> limit = response.header("Keep-Alive");
    if (const std::optional<int> seconds = limit ? keep_alive_seconds(*limit) : std::nullopt) {
        this->idle_limit = std::chrono::seconds{*seconds} - config::idle_connection_margin;
    }
}

std::optional<exchange_state> http_connection::extract_body(std::string& piece) {
    switch (this->framing.form) {
    case body_framing::kind::none:
        return exchange_state::complete;
    case body_framing::kind::chunked: {
        const std::size_t before = piece.size();
        this->chunks.decode(this->received, piece);
        if (this->chunks.is_malformed()) {
            return this->report_defect("malformed chunks");
        }
        if (this->chunks.is_done()) {
            return exchange_state::complete;
        }
        return piece.size() > before ? std::optional{exchange_state::ready} : std::nullopt;
    }
    case body_framing::kind::length: {
        const std::size_t count = std::min<std::uint64_t>(this->framing.bytes, this->received.size());
        piece.append(this->received, 0, count);
        this->received.erase(0, count);
        this->framing.bytes -= count;
        if (this->framing.bytes == 0) {
            return exchange_state::complete;
        }
        return count > 0 ? std::optional{exchange_state::ready} : std::nullopt;
    }
    case body_framing::kind::until_close:
    case body_framing::kind::count:
        break;
    }
    const bool has_bytes = !this->received.empty();
    piece.append(this->received);
    this->received.clear();
    return has_bytes ? std::optional{exchange_state::ready} : std::nullopt;
}

exchange_state http_connection::read_body(std::string& piece, steady_time until, cancellation& cancel) {
    while (true) {
        const std::optional<exchange_state> body_state = this->extract_body(piece);
        if (body_state == exchange_state::complete) {
            // Bytes received after the end of the response belong to no request. On a reused connection they would be
            // taken for the beginning of the next response.
            const bool is_delivered = this->is_request_delivered();
            this->can_reuse = this->can_reuse && this->received.empty() && !this->has_ended && is_delivered;
            this->is_response_pending = this->is_response_pending && !is_delivered;
        }
        if (body_state) {
            return *body_state;
        }
        if (this->has_ended) {
            return this->is_unframed() ? exchange_state::complete : exchange_state::broken;
        }
        const exchange_state wait_state = this->wait_for_bytes(until, cancel);
        if (wait_state != exchange_state::ready) {
            return wait_state;
        }
    }
}

bool http_connection::is_unusable() {
    char byte = 0;
    const auto count = ::recv(this->socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace pomelohoist
