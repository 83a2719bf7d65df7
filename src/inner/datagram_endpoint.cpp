#include "inner/datagram_endpoint.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <utility>

namespace pomelohoist::inner {

namespace {

constexpr std::size_t receive_buffer_bytes = 65536;
constexpr int socket_buffer_bytes = 1 << 20;
constexpr long poll_interval_us = 50000;

Poco::Net::SocketAddress to_poco(const net_address& address) {
    return {address.ip, address.port};
}

net_address from_poco(const Poco::Net::SocketAddress& address) {
    return {address.host().toString(), address.port()};
}

std::uint64_t random_start() {
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | 1U;
}

} // namespace

struct datagram_endpoint::pending_call {
    std::uint64_t number{0};
    std::optional<packet> response;
};

datagram_endpoint::datagram_endpoint(const net_address& local, std::string process_name, const clock& time_source)
    : socket(to_poco(local), false), name(std::move(process_name)), time(time_source), next_call(random_start()) {
    this->socket.setReceiveBufferSize(socket_buffer_bytes);
    this->socket.setSendBufferSize(socket_buffer_bytes);
}

datagram_endpoint::~datagram_endpoint() {
    this->stop();
}

void datagram_endpoint::start(datagram_handler* server) {
    this->handler = server;
    this->threads.emplace_back([this] { this->receive_loop(); });
    for (std::uint32_t i = 0; i < config::datagram_workers; ++i) {
        this->threads.emplace_back([this] { this->work_loop(); });
    }
}

void datagram_endpoint::stop() {
    this->stopping = true;
    this->queue_filled.notify_all();
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

net_address datagram_endpoint::local_address() const {
    return from_poco(this->socket.address());
}

result<packet> datagram_endpoint::call(const net_address& target, const payload& content,
                                       std::chrono::milliseconds timeout) {
    return this->call_all({datagram_call{target, content}}, timeout).front();
}

std::vector<result<packet>> datagram_endpoint::call_all(const std::vector<datagram_call>& calls,
                                                        std::chrono::milliseconds timeout) {
    const auto pending = this->register_calls(calls.size());
    const auto attempt_timeout = timeout / config::datagram_attempts;
    const steady_time begin = this->time.now();
    for (std::uint32_t attempt = 1; attempt <= config::datagram_attempts; ++attempt) {
        this->send_pending(calls, pending);
        if (this->wait_responses(pending, begin + attempt_timeout * attempt)) {
            break;
        }
    }
    this->erase_calls(pending);
    std::vector<result<packet>> results;
    results.reserve(calls.size());
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (pending[i]->response) {
            results.emplace_back(*pending[i]->response);
        } else {
            results.emplace_back(failure{error_kind::timeout, "no reply from " + calls[i].target.to_string()});
        }
    }
    return results;
}

std::vector<std::shared_ptr<datagram_endpoint::pending_call>> datagram_endpoint::register_calls(std::size_t number) {
    std::vector<std::shared_ptr<pending_call>> pending;
    const std::lock_guard lock{this->calls_mutex};
    for (std::size_t i = 0; i < number; ++i) {
        auto opened = std::make_shared<pending_call>();
        opened->number = this->next_call++;
        this->open_calls.emplace(opened->number, opened);
        pending.push_back(std::move(opened));
    }
    return pending;
}

void datagram_endpoint::erase_calls(const std::vector<std::shared_ptr<pending_call>>& pending) {
    const std::lock_guard lock{this->calls_mutex};
    for (const auto& closed : pending) {
        this->open_calls.erase(closed->number);
    }
}

void datagram_endpoint::send_pending(const std::vector<datagram_call>& calls,
                                     const std::vector<std::shared_ptr<pending_call>>& pending) {
    for (std::size_t i = 0; i < calls.size(); ++i) {
        {
            const std::lock_guard lock{this->calls_mutex};
            if (pending[i]->response) {
                continue;
            }
        }
        this->send(calls[i].target, packet{config::protocol_version, calls[i].content.type, pending[i]->number, false,
                                           this->name, calls[i].content.body});
    }
}

bool datagram_endpoint::wait_responses(const std::vector<std::shared_ptr<pending_call>>& pending, steady_time until) {
    std::unique_lock lock{this->calls_mutex};
    return this->response_received.wait_until(lock, until, [&pending] {
        return std::all_of(pending.begin(), pending.end(), [](const auto& open) { return open->response.has_value(); });
    });
}

void datagram_endpoint::send(const net_address& target, const packet& outgoing) {
    const std::string bytes = encode(outgoing);
    try {
        this->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), to_poco(target));
    } catch (const Poco::Exception&) {
        // The caller reports a timeout for an unreachable port, as for a lost datagram.
        return;
    }
}

void datagram_endpoint::receive_loop() {
    std::array<char, receive_buffer_bytes> buffer{};
    while (!this->stopping) {
        try {
            if (!this->socket.poll(Poco::Timespan{0, poll_interval_us}, Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress from;
            const int length = this->socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            result<packet> received = decode<packet>(std::string{buffer.data(), static_cast<std::size_t>(length)});
            if (received && received->protocol_version == config::protocol_version) {
                this->dispatch(std::move(*received), from_poco(from));
            }
        } catch (const Poco::Exception&) {
            // The kernel reports an earlier send to a closed port here, which must not stop the receiver.
            continue;
        }
    }
}

void datagram_endpoint::dispatch(packet received, const net_address& from) {
    if (!received.is_response) {
        const std::lock_guard lock{this->queue_mutex};
        if (this->queue.size() < config::max_pending_datagrams) {
            this->queue.push_back({std::move(received), from});
            this->queue_filled.notify_one();
        }
        return;
    }
    const std::lock_guard lock{this->calls_mutex};
    const auto found = this->open_calls.find(received.call);
    if (found != this->open_calls.end() && !found->second->response) {
        found->second->response = std::move(received);
        this->response_received.notify_all();
    }
}

void datagram_endpoint::work_loop() {
    while (true) {
        std::unique_lock lock{this->queue_mutex};
        this->queue_filled.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (this->stopping) {
            return;
        }
        const incoming next = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        this->serve(next.request, next.from);
    }
}

void datagram_endpoint::serve(const packet& request, const net_address& from) {
    payload response = to_payload(failure_response{error_kind::not_found, "this process serves no calls"});
    if (this->handler != nullptr) {
        response = this->handler->handle_datagram(request);
    }
    this->send(from, packet{config::protocol_version, response.type, request.call, true, this->name, response.body});
}

} // namespace pomelohoist::inner
