#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int backlog = 512;
constexpr std::size_t buffer_bytes = 65536;

sockaddr_in to_socket_address(const address& value) {
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(value.port);
    if (inet_pton(AF_INET, value.ip.c_str(), &converted.sin_addr) != 1) {
        throw std::runtime_error("no IPv4 address: " + value.ip);
    }
    return converted;
}

int bind_socket(const address& local, int type) {
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = to_socket_address(local);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        ::close(descriptor);
        throw std::runtime_error("cannot bind " + local.text());
    }
    return descriptor;
}

std::uint16_t port_of(int descriptor) {
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
    return ntohs(bound.sin_port);
}

int milliseconds_until(steady_time until) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
    return static_cast<int>(std::clamp<long long>(left, 0, 60000));
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trimmed(const std::string& text) {
    const std::size_t begin = text.find_first_not_of(" \t\r\n");
    const std::size_t end = text.find_last_not_of(" \t\r\n");
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

std::string word_of(const std::string& line, std::size_t index) {
    std::istringstream words{line};
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) {
        word.clear();
        words >> word;
    }
    return word;
}

} // namespace

connection& connection::operator=(connection&& other) noexcept {
    if (this != &other) {
        this->close();
        this->handle = other.release();
    }
    return *this;
}

int connection::release() {
    return std::exchange(this->handle, -1);
}

void connection::close() {
    if (this->handle >= 0) {
        ::close(this->release());
    }
}

void connection::reset() {
    if (this->handle >= 0) {
        const linger at_once{1, 0};
        ::setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        this->close();
    }
}

bool connection::send_all(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(this->handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<std::string> connection::receive(steady_time until) const {
    while (true) {
        pollfd watched{this->handle, POLLIN, 0};
        const int ready = ::poll(&watched, 1, milliseconds_until(until));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready == 0) {
            return std::nullopt;
        }
        std::array<char, buffer_bytes> buffer{};
        const auto count = ::recv(this->handle, buffer.data(), buffer.size(), 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string{};
    }
}

connection connect_to(const address& target, std::chrono::milliseconds timeout) {
    connection opened{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const int flags = ::fcntl(opened.descriptor(), F_GETFL);
    ::fcntl(opened.descriptor(), F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in remote = to_socket_address(target);
    if (::connect(opened.descriptor(), reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        pollfd watched{opened.descriptor(), POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (errno != EINPROGRESS || ::poll(&watched, 1, static_cast<int>(timeout.count())) != 1 ||
            ::getsockopt(opened.descriptor(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            return connection{};
        }
    }
    ::fcntl(opened.descriptor(), F_SETFL, flags);
    const int on = 1;
    ::setsockopt(opened.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return opened;
}

address free_address(const std::string& ip) {
    const int descriptor = bind_socket({ip, 0}, SOCK_STREAM);
    address found{ip, port_of(descriptor)};
    ::close(descriptor);
    return found;
}

std::string http_message::field(const std::string& name) const {
    const auto found = this->fields.find(lower(name));
    return found != this->fields.end() ? found->second : "";
}

int http_message::status() const {
    return std::atoi(word_of(this->start_line, 1).c_str());
}

std::string http_message::method() const {
    return word_of(this->start_line, 0);
}

std::string http_message::target() const {
    return word_of(this->start_line, 1);
}

bool http_reader::fill(steady_time until) {
    const std::optional<std::string> bytes = this->from.receive(until);
    if (!bytes || bytes->empty()) {
        return false;
    }
    this->buffer += *bytes;
    return true;
}

std::optional<std::string> http_reader::read_line(steady_time until) {
    std::size_t end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill(until)) {
            return std::nullopt;
        }
        end = this->buffer.find("\r\n");
    }
    const std::string line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return line;
}

bool http_reader::read_chunks(std::string& body, steady_time until) {
    constexpr int hexadecimal = 16;
    while (true) {
        const std::optional<std::string> size_line = this->read_line(until);
        if (!size_line) {
            return false;
        }
        const std::size_t size = std::strtoul(size_line->c_str(), nullptr, hexadecimal);
        while (this->buffer.size() < size + 2) {
            if (!this->fill(until)) {
                body += this->buffer.substr(0, size);
                return false;
            }
        }
        body += this->buffer.substr(0, size);
        this->buffer.erase(0, size + 2);
        if (size == 0) {
            return true;
        }
    }
}

std::optional<http_message> http_reader::read(steady_time until) {
    if (this->buffer.empty() && !this->fill(until)) {
        return std::nullopt;
    }
    http_message message;
    const std::optional<std::string> first = this->read_line(until);
    if (!first) {
        return message;
    }
    message.start_line = *first;
    while (true) {
        const std::optional<std::string> line = this->read_line(until);
        if (!line) {
            return message;
        }
        if (line->empty()) {
            break;
        }
        const std::size_t colon = line->find(':');
        message.fields[lower(line->substr(0, colon))] =
            colon == std::string::npos ? "" : trimmed(line->substr(colon + 1));
    }
    if (lower(message.field("Transfer-Encoding")) == "chunked") {
        message.is_complete = this->read_chunks(message.body, until);
        return message;
    }
    const std::size_t length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < length && this->fill(until)) {
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, message.body.size());
    message.is_complete = message.body.size() == length;
    return message;
}

listener::listener(address local_address, handler serve_connection, int receive_buffer_bytes)
    : local(std::move(local_address)), serve(std::move(serve_connection)),
      descriptor(bind_socket(this->local, SOCK_STREAM)) {
    if (receive_buffer_bytes > 0) {
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    }
    this->local.port = port_of(this->descriptor);
    ::listen(this->descriptor, backlog);
    this->thread = std::thread{[this] { this->accept_loop(); }};
}

listener::~listener() {
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->thread.join();
    ::close(this->descriptor);
}

void listener::accept_loop() {
    while (true) {
        const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0 && errno == EINTR) {
            continue;
        }
        if (accepted < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto served = std::make_shared<connection>(accepted);
        // The threads end with their connections; the process of a case ends by _exit.
        std::thread{[handle = this->serve, served] { handle(*served); }}.detach();
    }
}

} // namespace review
