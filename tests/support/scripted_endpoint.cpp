#include "support/scripted_endpoint.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <array>
#include <csignal>
#include <sstream>
#include <utility>

namespace pomelohoist::test_support {

namespace {

constexpr long poll_us = 20000;

/// @returns the length of the first request in the received bytes, or 0 while the request is incomplete
std::size_t request_length(const std::string& received) {
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return 0;
    }
    const std::string length = field_of(received.substr(0, end + 2), "Content-Length");
    const std::size_t total = end + 4 + (length.empty() ? 0 : std::stoul(length));
    return received.size() >= total ? total : 0;
}

} // namespace

std::string field_of(const std::string& request, const std::string& name) {
    std::istringstream lines{request};
    for (std::string line; std::getline(lines, line) && line != "\r";) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && Poco::icompare(line.substr(0, colon), name) == 0) {
            return Poco::trim(line.substr(colon + 1));
        }
    }
    return "";
}

std::string full_response_to(const std::string& request, int status, const std::string& body,
                             const std::string& more_fields) {
    const std::string id = field_of(request, "X-Pomelohoist-Attempt-Id");
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Pomelohoist-Attempt-Id: " + id +
           "\r\nX-Pomelohoist-Response-Stamp: signed\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           more_fields + "\r\n" + body;
}

scripted_endpoint::scripted_endpoint(script responses, int receive_buffer_bytes)
    : response_of(std::move(responses)),
      listener(Poco::Net::SocketAddress{"127.0.0.1", 0}), bound{"127.0.0.1", this->listener.address().port()} {
    std::signal(SIGPIPE, SIG_IGN);
    if (receive_buffer_bytes != 0) {
        this->listener.setReceiveBufferSize(receive_buffer_bytes);
    }
    this->acceptor = std::thread{[this] { this->accept_loop(); }};
}

scripted_endpoint::~scripted_endpoint() {
    this->stopping = true;
    this->acceptor.join();
    // The accept loop has ended, so no thread is added any more.
    for (std::thread& connection : this->connection_threads) {
        connection.join();
    }
}

net_address scripted_endpoint::address() const {
    return this->bound;
}

std::vector<std::string> scripted_endpoint::requests() const {
    const std::lock_guard lock{this->mutex};
    return this->received_requests;
}

void scripted_endpoint::accept_loop() {
    while (!this->stopping && !this->crashed) {
        if (!this->listener.poll(Poco::Timespan{0, poll_us}, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        Poco::Net::StreamSocket socket = this->listener.acceptConnection();
        ++this->accepted;
        this->connection_threads.emplace_back([this, socket] { this->serve_connection(socket); });
    }
    this->listener.close();
    this->is_closed = true;
}

void scripted_endpoint::serve_connection(Poco::Net::StreamSocket socket) {
    std::string received;
    std::array<char, 4096> buffer{};
    try {
        while (!this->stopping && !this->crashed) {
            if (!this->is_reading) {
                std::this_thread::sleep_for(std::chrono::microseconds{poll_us});
                continue;
            }
            if (!socket.poll(Poco::Timespan{0, poll_us}, Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return;
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
            while (const std::size_t length = request_length(received)) {
                const std::string request = received.substr(0, length);
                received.erase(0, length);
                if (!this->serve(socket, request)) {
                    return;
                }
            }
        }
    } catch (const Poco::Exception&) {
        // The client has reset the connection.
        this->caller_disconnected = true;
    }
}

bool scripted_endpoint::serve(Poco::Net::StreamSocket& socket, const std::string& request) {
    std::size_t number = 0;
    {
        const std::lock_guard lock{this->mutex};
        number = this->received_requests.size();
        this->received_requests.push_back(request);
    }
    const scripted_response response = this->response_of(request, number);
    std::this_thread::sleep_for(response.delay);
    if (response.send_buffer_bytes != 0) {
        socket.setSendBufferSize(response.send_buffer_bytes);
    }
    std::size_t sent = 0;
    while (sent < response.bytes.size()) {
        sent += static_cast<std::size_t>(
            socket.sendBytes(response.bytes.data() + sent, static_cast<int>(response.bytes.size() - sent)));
    }
    while (!response.endless.empty() && !this->stopping) { // ends with an exception when the client disconnects
        this->endless_sent += static_cast<std::size_t>(
            socket.sendBytes(response.endless.data(), static_cast<int>(response.endless.size())));
        std::this_thread::sleep_for(response.endless_interval);
    }
    while (response.hangs && !this->stopping) {
        if (socket.poll(Poco::Timespan{0, poll_us}, Poco::Net::Socket::SELECT_READ) && socket.available() == 0) {
            this->caller_disconnected = true;
            return false;
        }
    }
    if (response.crashes || response.crashes_after_close) {
        this->crashed = true;
        while (!this->is_closed) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }
    if (response.resets || response.crashes) {
        socket.setLinger(true, 0);
        socket.close();
    } else if (response.closes || response.crashes_after_close) {
        socket.shutdown();
    }
    return !response.resets && !response.closes && !this->crashed;
}

} // namespace pomelohoist::test_support
