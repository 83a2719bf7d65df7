#include "http/http_connection.h"

#include "http/status_code.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <poll.h>
#include <sstream>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pomelohoist {

namespace {

constexpr std::size_t read_buffer_bytes = 16384;
constexpr long long microseconds_per_millisecond = 1000;
constexpr std::uint16_t status_no_content = 204;
constexpr std::uint16_t status_not_modified = 304;
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

std::optional<std::string> http_response_head::header(const std::string& name) const {
    const auto found = std::find_if(this->headers.begin(), this->headers.end(),
                                    [&name](const auto& field) { return Poco::icompare(field.name, name) == 0; });
    return found != this->headers.end() ? std::optional{found->value} : std::nullopt;
}

bool http_response_head::repeats(const std::string& name) const {
    return std::count_if(this->headers.begin(), this->headers.end(),
                         [&name](const auto& field) { return Poco::icompare(field.name, name) == 0; }) > 1;
}

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
    while (true) {
        const std::size_t end = this->received.find("\r\n\r\n");
        if (end != std::string::npos) {
            const exchange_state parse_state = this->parse_head(end, is_head_request, response);
            if (parse_state != exchange_state::ready || is_final_status(response.status)) {
                return parse_state;
            }
            if (++interim_responses > config::max_interim_responses) {
                return exchange_state::broken;
            }
            continue; // skips an interim (1xx) response
        }
        if (this->has_ended || this->received.size() > config::max_response_head_bytes) {
            return exchange_state::broken;
        }
        const exchange_state wait_state = this->wait_for_bytes(until, cancel);
        if (wait_state != exchange_state::ready) {
            return wait_state;
        }
    }
}

exchange_state http_connection::parse_head(std::size_t end, bool is_head_request, http_response_head& response) {
    constexpr std::size_t blank_line_bytes = 4;
    std::istringstream head{this->received.substr(0, end + blank_line_bytes)};
    // POCO accepts any number as a status.
    const std::optional<std::uint16_t> status = parse_status_line(this->received);
    if (!status) {
        return exchange_state::broken;
    }
    response.status = *status;
    this->received.erase(0, end + blank_line_bytes);
    try {
        Poco::Net::HTTPResponse parsed;
        parsed.read(head);
        response.headers.clear();
        for (const auto& [name, value] : parsed) {
            response.headers.push_back({name, value});
        }
    } catch (const Poco::Exception&) {
        return exchange_state::broken;
    }
    if (!this->choose_framing(is_head_request, response)) {
        return exchange_state::broken;
    }
    this->record_reuse(response);
    return exchange_state::ready;
}

bool http_connection::choose_framing(bool is_head_request, const http_response_head& response) {
    this->chunks = chunk_decoder{};
    this->body_remaining = 0;
    this->body_framing = framing::none;
    if (is_head_request || !is_final_status(response.status) || response.status == status_no_content ||
        response.status == status_not_modified) {
        return true;
    }
    const std::optional<std::string> coding = response.header("Transfer-Encoding");
    if (coding) {
        this->body_framing = framing::chunked;
        return Poco::icompare(*coding, "chunked") == 0;
    }
    const auto is_length = [](const inner::header_field& field) {
        return Poco::icompare(field.name, "Content-Length") == 0;
    };
    const auto lengths = std::count_if(response.headers.begin(), response.headers.end(), is_length);
    if (lengths == 0) {
        this->body_framing = framing::until_close;
        return true;
    }
    this->body_framing = framing::length;
    return lengths == 1 &&
           Poco::NumberParser::tryParseUnsigned64(*response.header("Content-Length"), this->body_remaining);
}

void http_connection::record_reuse(const http_response_head& response) {
    const std::optional<std::string> connection = response.header("Connection");
    this->can_reuse =
        this->body_framing != framing::until_close && !(connection && Poco::icompare(*connection, "close") == 0);
    this->idle_limit.reset();
    const std::optional<std::string> limit = response.header("Keep-Alive");
    if (const std::optional<int> seconds = limit ? keep_alive_seconds(*limit) : std::nullopt) {
        this->idle_limit = std::chrono::seconds{*seconds} - config::idle_connection_margin;
    }
}

std::optional<exchange_state> http_connection::extract_body(std::string& piece) {
    switch (this->body_framing) {
    case framing::none:
        return exchange_state::complete;
    case framing::chunked: {
        const std::size_t before = piece.size();
        this->chunks.decode(this->received, piece);
        if (this->chunks.is_malformed()) {
            return exchange_state::broken;
        }
        if (this->chunks.is_done()) {
            return exchange_state::complete;
        }
        return piece.size() > before ? std::optional{exchange_state::ready} : std::nullopt;
    }
    case framing::length: {
        const std::size_t count = std::min<std::uint64_t>(this->body_remaining, this->received.size());
        piece.append(this->received, 0, count);
        this->received.erase(0, count);
        this->body_remaining -= count;
        if (this->body_remaining == 0) {
            return exchange_state::complete;
        }
        return count > 0 ? std::optional{exchange_state::ready} : std::nullopt;
    }
    case framing::until_close:
    case framing::count:
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
            return this->body_framing == framing::until_close ? exchange_state::complete : exchange_state::broken;
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
