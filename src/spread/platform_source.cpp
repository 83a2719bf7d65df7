#include "spread/platform_source.h"

namespace pomelohoist {

namespace {

std::vector<peer> to_peers(const std::vector<net_address>& addresses) {
    std::vector<peer> peers;
    peers.reserve(addresses.size());
    for (const net_address& address : addresses) {
        peers.push_back({address, ""});
    }
    return peers;
}

} // namespace

platform_source::platform_source(const platform_setup& setup, const daemon_context& context,
                                 inner::datagram_endpoint& calls)
    : client(setup.platform, context.time), breaker(context.time), guarded(this->client, this->breaker),
      directory(to_peers(setup.seeds)), spreader({this->guarded, this->client, this->client, this->directory, calls,
                                                  context.time, context.random, context.log},
                                                 setup.identity) {
    this->spreader.start();
}

platform_source::~platform_source() {
    this->spreader.stop();
}

configuration_ptr platform_source::current() const {
    return this->spreader.current();
}

result<done> platform_source::pull_from(const net_address& peer, std::uint64_t version) {
    return this->spreader.pull_from(peer, version);
}

bool platform_source::is_leaving(const std::string& host) const {
    return this->spreader.is_leaving(host);
}

std::uint64_t platform_source::host_list_version() const {
    return this->spreader.host_list_version();
}

inner::announce_response platform_source::handle_announce(const inner::announce& received) {
    return this->spreader.handle_announce(received);
}

inner::pull_response platform_source::handle_pull(const inner::pull_request& received) {
    return this->spreader.handle_pull(received);
}

table_service& platform_source::table() {
    return this->guarded;
}

} // namespace pomelohoist
