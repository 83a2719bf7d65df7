#include "channel.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <sstream>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pomelohoist::review {

namespace {

constexpr std::size_t read_bytes = 65536;
constexpr int hexadecimal = 16;

int milliseconds_until(steady::time_point until) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - steady::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

std::string trim(const std::string& text) {
    const std::size_t begin = text.find_first_not_of(" \t\r");
    return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

message parse_head(const std::string& head) {
    message parsed;
    std::istringstream lines{head};
    std::getline(lines, parsed.first_line);
    parsed.first_line = trim(parsed.first_line);
    for (std::string line; std::getline(lines, line);) {
        if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
            parsed.headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
        }
    }
    return parsed;
}

/// Moves the whole chunks from `input` to `body`.
/// @returns true after the last chunk
bool take_chunks(std::string& input, std::string& body) {
    while (true) {
        const std::size_t end = input.find("\r\n");
        if (end == std::string::npos) {
            return false;
        }
        const std::size_t size = std::stoul(input.substr(0, end), nullptr, hexadecimal);
        if (input.size() < end + size + 4) {
            return false;
        }
        body += input.substr(end + 2, size);
        input.erase(0, end + size + 4);
        if (size == 0) {
            return true;
        }
    }
}

bool take_body(channel& source, message& parsed) {
    if (lower(parsed.header("transfer-encoding")) == "chunked") {
        return take_chunks(source.buffer(), parsed.body);
    }
    const std::string length = parsed.header("content-length");
    const std::size_t total = length.empty() ? 0 : std::stoul(length);
    const std::size_t taken = std::min(total - parsed.body.size(), source.buffer().size());
    parsed.body.append(source.buffer(), 0, taken);
    source.buffer().erase(0, taken);
    return parsed.body.size() == total;
}

} // namespace

channel& channel::operator=(channel&& other) noexcept {
    std::swap(this->descriptor, other.descriptor);
    std::swap(this->received, other.received);
    return *this;
}

std::optional<channel> channel::connect(const net_address& target, std::chrono::milliseconds timeout) {
    channel made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    inet_pton(AF_INET, target.ip.c_str(), &address.sin_addr);
    if (::connect(made.descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        return std::nullopt;
    }
    pollfd watched{made.descriptor, POLLOUT, 0};
    int failed = 0;
    socklen_t size = sizeof failed;
    if (::poll(&watched, 1, static_cast<int>(timeout.count())) <= 0 ||
        ::getsockopt(made.descriptor, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0) {
        return std::nullopt;
    }
    const int yes = 1;
    ::setsockopt(made.descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return made;
}

bool channel::send(const std::string& bytes, std::chrono::milliseconds timeout) {
    const steady::time_point until = steady::now() + timeout;
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count =
            ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        pollfd watched{this->descriptor, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EINTR) || ::poll(&watched, 1, milliseconds_until(until)) <= 0) {
            return false;
        }
    }
    return true;
}

read_end channel::receive(std::chrono::milliseconds timeout) {
    pollfd watched{this->descriptor, POLLIN, 0};
    if (::poll(&watched, 1, static_cast<int>(timeout.count())) <= 0) {
        return read_end::timed_out;
    }
    std::array<char, read_bytes> piece{};
    const auto count = ::recv(this->descriptor, piece.data(), piece.size(), MSG_DONTWAIT);
    if (count > 0) {
        this->received.append(piece.data(), static_cast<std::size_t>(count));
        return read_end::bytes;
    }
    return count == 0 ? read_end::closed : read_end::reset;
}

void channel::close() {
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

void channel::reset() {
    const linger none{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    this->close();
}

std::string message::header(const std::string& lower_case_name) const {
    const auto found = this->headers.find(lower_case_name);
    return found == this->headers.end() ? "" : found->second;
}

std::string message::word(std::size_t position) const {
    std::istringstream words{this->first_line};
    std::string found;
    for (std::size_t i = 0; i <= position; ++i) {
        if (!(words >> found)) {
            return "";
        }
    }
    return found;
}

int message::status() const {
    const std::string text = this->word(1);
    return !text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) != 0 ? std::stoi(text) : 0;
}

std::optional<message> read_message(channel& source, steady::time_point until, read_end& end) {
    std::optional<message> parsed;
    end = read_end::bytes;
    while (true) {
        if (const std::size_t head = source.buffer().find("\r\n\r\n"); !parsed && head != std::string::npos) {
            parsed = parse_head(source.buffer().substr(0, head + 2));
            source.buffer().erase(0, head + 4);
        }
        if (parsed && take_body(source, *parsed)) {
            parsed->complete = true;
            parsed->received_at = steady::now();
            return parsed;
        }
        end = source.receive(std::chrono::milliseconds{milliseconds_until(until)});
        if (end != read_end::bytes) {
            if (parsed) {
                parsed->end = end;
                parsed->received_at = steady::now();
            }
            return parsed;
        }
    }
}

} // namespace pomelohoist::review
