#include "inner/peer_listener.h"

#include <Poco/Net/NetException.h>

#include <utility>

namespace pomelohoist::inner {

namespace {

constexpr int max_bind_attempts = 20;

} // namespace

peer_listener::peer_listener(const net_address& local, const std::string& process_name, const clock& time_source)
    : name(process_name) {
    for (int attempt = 1;; ++attempt) {
        auto bound = std::make_unique<stream_listener>(local);
        try {
            this->datagram = std::make_unique<datagram_endpoint>(bound->local_address(), process_name, time_source);
            this->listener = std::move(bound);
            return;
        } catch (const Poco::Net::NetException&) {
            // The port that the system selected for TCP may be in use for UDP.
            if (local.port != 0 || attempt == max_bind_attempts) {
                throw;
            }
        }
    }
}

void peer_listener::start(datagram_handler& datagrams, stream_handler& streams) {
    this->datagram->start(&datagrams);
    this->server = std::make_unique<stream_server>(*this->listener, this->name, streams);
}

void peer_listener::stop() {
    if (this->server) {
        this->server->stop();
    }
    this->datagram->stop();
}

net_address peer_listener::local_address() const {
    return this->listener->local_address();
}

datagram_endpoint& peer_listener::calls() {
    return *this->datagram;
}

} // namespace pomelohoist::inner
