#include "server.h"

#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pomelohoist::review {

namespace {

constexpr int accept_poll_ms = 20;
constexpr int backlog = 512;
constexpr std::chrono::milliseconds request_poll{50};

} // namespace

server::server(connection_handler serve_connection, std::uint16_t port)
    : handler(std::move(serve_connection)), listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int yes = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    socklen_t size = sizeof address;
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(this->listener, backlog) != 0 ||
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("no port for a server");
    }
    this->bound = {"127.0.0.1", ntohs(address.sin_port)};
    this->accepting = std::thread{[this] { this->accept_loop(); }};
}

void server::stop() {
    if (this->stopping.exchange(true)) {
        return;
    }
    this->accepting.join();
    for (worker& each : this->workers) {
        each.thread.join();
    }
}

void server::remove_finished() {
    std::erase_if(this->workers, [](worker& each) {
        if (*each.done) {
            each.thread.join();
        }
        return static_cast<bool>(*each.done);
    });
}

void server::accept_loop() {
    while (!this->stopping) {
        pollfd watched{this->listener, POLLIN, 0};
        if (::poll(&watched, 1, accept_poll_ms) <= 0) {
            continue;
        }
        const int accepted = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int yes = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        this->remove_finished();
        auto done = std::make_shared<std::atomic<bool>>(false);
        this->workers.push_back({std::thread{[this, accepted, done] {
                                     {
                                         channel caller{accepted};
                                         this->handler(caller, this->stopping);
                                     }
                                     *done = true;
                                 }},
                                 done});
    }
    ::close(this->listener);
}

server::connection_handler serve_requests(request_handler serve) {
    return [serve = std::move(serve)](channel& caller, const std::atomic<bool>& stopping) {
        while (!stopping) {
            if (caller.buffer().empty()) {
                const read_end end = caller.receive(request_poll);
                if (end == read_end::timed_out) {
                    continue;
                }
                if (end != read_end::bytes) {
                    return;
                }
            }
            read_end end = read_end::bytes;
            const std::optional<message> request = read_message(caller, steady::now() + std::chrono::seconds{10}, end);
            if (!request || !request->complete || !serve(caller, *request)) {
                return;
            }
        }
    };
}

std::string make_response(const message& request, int status, const std::string& body, const std::string& more_fields) {
    return "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Failure") +
           "\r\nX-Pomelohoist-Attempt-Id: " + request.header("x-pomelohoist-attempt-id") +
           "\r\nX-Pomelohoist-Response-Stamp: stamp-" + request.header("x-pomelohoist-attempt-id") +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more_fields + "\r\n" + body;
}

} // namespace pomelohoist::review
