#include "support/relay.h"

#include "common/listen_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>

namespace pomelohoist::test_support {

namespace {

constexpr std::size_t buffer_bytes = 65536;
constexpr long poll_us = 2000;
constexpr int backlog = 256;
constexpr int max_bind_attempts = 20;

Poco::Net::SocketAddress to_poco(const net_address& address) {
    return {address.ip, address.port};
}

/// Copies bytes until `from` reaches its end, then closes the sending direction of `into`.
void copy_bytes(Poco::Net::StreamSocket from, Poco::Net::StreamSocket into) {
    std::array<char, buffer_bytes> buffer{};
    try {
        int count = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        while (count > 0) {
            into.sendBytes(buffer.data(), count);
            count = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        }
        into.shutdownSend();
    } catch (const Poco::Exception&) {
        // A broken connection ends this copy; the thread of the other direction ends on its own read error.
        return;
    }
}

void shut_down(Poco::Net::StreamSocket& socket) {
    try {
        socket.shutdown();
    } catch (const Poco::Exception&) {
        // The socket is already closed.
        return;
    }
}

} // namespace

relay::relay(const std::string& ip, const net_address& process) : target(process) {
    this->bind(ip);
    this->datagram_thread = std::thread{[this] { this->datagram_loop(); }};
    this->accept_thread = std::thread{[this] { this->accept_loop(); }};
}

relay::~relay() {
    this->stopping = true;
    this->datagram_thread.join();
    this->accept_thread.join();
    this->close_connections();
    for (const auto& open : this->connections) {
        open->to_callee.join();
        open->to_caller.join();
    }
}

void relay::bind(const std::string& ip) {
    for (int attempt = 1;; ++attempt) {
        this->listener = bind_listener({ip, 0}, backlog);
        this->bound = {ip, this->listener.address().port()};
        try {
            this->datagrams = Poco::Net::DatagramSocket{to_poco(this->bound), false};
            return;
        } catch (const Poco::Net::NetException&) {
            if (attempt == max_bind_attempts) {
                throw;
            }
        }
    }
}

void relay::set_cut(bool is_cut) {
    this->cut = is_cut;
    if (is_cut) {
        this->close_connections();
    }
}

void relay::close_connections() {
    const std::lock_guard lock{this->mutex};
    for (const auto& open : this->connections) {
        shut_down(open->caller);
        shut_down(open->callee);
    }
}

void relay::datagram_loop() {
    datagram_paths paths;
    while (!this->stopping) {
        try {
            this->forward_requests(paths);
            this->forward_responses(paths);
        } catch (const Poco::Exception&) {
            // The target process is down. Its datagrams are lost, as on a real network path.
            continue;
        }
    }
}

void relay::forward_requests(datagram_paths& paths) {
    std::array<char, buffer_bytes> buffer{};
    Poco::Timespan wait{0, poll_us};
    while (this->datagrams.poll(wait, Poco::Net::Socket::SELECT_READ)) {
        wait = Poco::Timespan{0};
        Poco::Net::SocketAddress from;
        const int length = this->datagrams.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
        if (this->cut) {
            continue;
        }
        auto& path = paths[{from.host().toString(), from.port()}];
        if (!path) {
            path = std::make_unique<Poco::Net::DatagramSocket>(Poco::Net::SocketAddress{this->bound.ip, 0}, false);
        }
        path->sendTo(buffer.data(), length, to_poco(this->target));
    }
}

void relay::forward_responses(datagram_paths& paths) {
    std::array<char, buffer_bytes> buffer{};
    for (const auto& [caller, path] : paths) {
        while (path->poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
            Poco::Net::SocketAddress from;
            const int length = path->receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            if (!this->cut) {
                this->datagrams.sendTo(buffer.data(), length, to_poco(caller));
            }
        }
    }
}

void relay::accept_loop() {
    while (!this->stopping) {
        try {
            if (this->listener.poll(Poco::Timespan{0, poll_us}, Poco::Net::Socket::SELECT_READ)) {
                this->accept_connection();
            }
        } catch (const Poco::Exception&) {
            // The target process does not accept connections; the caller's connection is closed.
            continue;
        }
    }
}

void relay::accept_connection() {
    Poco::Net::StreamSocket caller = this->listener.acceptConnection();
    if (this->cut) {
        return;
    }
    auto open = std::make_unique<connection>();
    open->caller = caller;
    open->callee.connect(to_poco(this->target));
    open->caller.setNoDelay(true);
    open->callee.setNoDelay(true);
    open->to_callee = std::thread{copy_bytes, open->caller, open->callee};
    open->to_caller = std::thread{copy_bytes, open->callee, open->caller};
    const std::lock_guard lock{this->mutex};
    this->connections.push_back(std::move(open));
}

} // namespace pomelohoist::test_support
