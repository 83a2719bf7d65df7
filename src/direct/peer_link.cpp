#include "direct/peer_link.h"

#include "inner/codec.h"
#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t receive_buffer_bytes = 8192;
constexpr long receive_wait_us = 250000; // how long a stop may wait for the receiving thread
constexpr std::size_t max_open_pulls = 4;

Poco::Net::SocketAddress to_poco(const net_address& address) {
    return Poco::Net::SocketAddress{address.ip, address.port};
}

} // namespace

peer_link::peer_link(peer_link_options chosen, routing_state& in_force, load_tracker& loads,
                     inner::stream_handler* other, const clock& time_source, structured_log& process_log)
    : options(std::move(chosen)), shared(in_force), board(loads), next_handler(other), time(time_source),
      log(process_log), socket(to_poco(this->options.own.address), true), listener(this->options.own.address),
      // A restarted process must continue above the numbers of the one before it.
      next_sequence(static_cast<std::uint64_t>(this->time.now().time_since_epoch().count())) {}

peer_link::~peer_link() {
    this->stop();
}

void peer_link::start() {
    this->server = std::make_unique<inner::stream_server>(this->listener, this->options.own.name, *this);
    this->threads.emplace_back([this] { this->receive_loop(); });
    this->threads.emplace_back([this] { this->announce_loop(); });
    this->threads.emplace_back([this] { this->pull_loop(); });
}

void peer_link::stop() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    if (this->server) {
        this->server->stop();
        this->server.reset();
    }
}

void peer_link::add_peers(const std::vector<peer_record>& records) {
    const std::lock_guard lock{this->mutex};
    for (const peer_record& record : records) {
        if (record.name != this->options.own.name && !this->peers.contains(record.name)) {
            this->peers[record.name].address = record.address;
        }
    }
}

void peer_link::set_seeds(std::vector<net_address> addresses) {
    const std::lock_guard lock{this->mutex};
    this->options.seeds = std::move(addresses);
}

std::string peer_link::make_news() {
    inner::peer_update news;
    news.sender = this->options.own.name;
    news.is_entry = this->options.is_entry;
    news.sequence = this->next_sequence++;
    const routing_snapshot seen = this->shared.current();
    news.routing_version = seen.routing ? seen.routing->version() : 0;
    news.endpoints_revision = seen.endpoints ? seen.endpoints->revision : 0;
    const auto age = this->shared.store_age();
    news.store_age_ms = age ? age->count() : -1;
    news.loads = this->board.own_loads();
    {
        const std::lock_guard lock{this->mutex};
        news.beside = this->rank;
    }
    return inner::encode(news);
}

std::vector<net_address> peer_link::targets(audience told) const {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> addresses;
    for (const auto& [name, known] : this->peers) {
        if (this->is_told(known, told)) {
            addresses.push_back(known.address);
        }
    }
    if (told == audience::everyone) {
        for (const net_address& seed : this->options.seeds) {
            if (seed != this->options.own.address &&
                std::find(addresses.begin(), addresses.end(), seed) == addresses.end()) {
                addresses.push_back(seed);
            }
        }
    }
    return addresses;
}

void peer_link::send_to(const std::string& bytes, const std::vector<net_address>& addresses) {
    for (const net_address& target : addresses) {
        try {
            this->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), to_poco(target));
        } catch (const Poco::Exception&) {
            // An unreachable port counts as a lost datagram; the next announcement follows soon.
            continue;
        }
    }
}

void peer_link::send_update() {
    this->send_to(this->make_news(), this->targets(audience::everyone));
}

void peer_link::announce_load() {
    this->send_to(this->make_news(), this->targets(audience::live_entries));
}

std::vector<net_address> peer_link::closed_engines() const {
    const std::lock_guard lock{this->mutex};
    std::vector<net_address> closed;
    for (const auto& [name, known] : this->peers) {
        if (known.beside && !known.beside->is_open && this->is_live(known)) {
            closed.push_back(known.beside->engine);
        }
    }
    return closed;
}

std::uint32_t peer_link::rank_among_live() const {
    const std::lock_guard lock{this->mutex};
    std::uint32_t before = 0;
    for (const auto& [name, known] : this->peers) {
        before += known.is_entry && name < this->options.own.name && this->is_live(known) ? 1U : 0U;
    }
    return before;
}

bool peer_link::is_told(const peer& known, audience told) const {
    switch (told) {
    case audience::live_entries:
        return known.is_entry && this->is_live(known);
    case audience::entries:
        // One that was silent for long is still told: both sides may have been cut off from each other.
        return known.is_entry || !known.heard_at;
    case audience::group:
        return known.beside && this->rank && known.beside->group == this->rank->group;
    case audience::everyone:
    case audience::count:
        break;
    }
    return true;
}

bool peer_link::is_live(const peer& known) const {
    auto limit = known.is_entry ? config::peer_update_timeout : config::rank_update_timeout;
    if (known.beside && known.beside->is_coordinating) {
        // It may stand still while its group is held, so it has to be replaced soon.
        limit = config::coordinator_update_timeout;
    }
    return known.heard_at && this->time.now() - *known.heard_at <= limit;
}

void peer_link::set_rank(const std::optional<inner::rank_info>& own_rank) {
    const std::lock_guard lock{this->mutex};
    this->rank = own_rank;
}

std::vector<group_peer> peer_link::group_peers(const std::string& group) const {
    const std::lock_guard lock{this->mutex};
    std::map<std::uint32_t, std::pair<steady_time, group_peer>> by_rank;
    for (const auto& [name, known] : this->peers) {
        if (!known.beside || known.beside->group != group || !known.heard_at) {
            continue;
        }
        const group_peer found{name, known.address, known.beside->rank, known.beside->engine, this->is_live(known)};
        const auto present = by_rank.find(found.rank);
        if (present == by_rank.end() || present->second.first < *known.heard_at) {
            by_rank[found.rank] = {*known.heard_at, found};
        }
    }
    std::vector<group_peer> members;
    members.reserve(by_rank.size());
    for (const auto& [rank_number, found] : by_rank) {
        members.push_back(found.second);
    }
    return members;
}

void peer_link::announce_loop() {
    while (!this->stopping) {
        const std::chrono::milliseconds wait = this->announce_due();
        std::unique_lock lock{this->mutex};
        this->changed.wait_for(lock, wait, [this] { return this->stopping.load(); });
    }
}

std::chrono::milliseconds peer_link::announce_due() {
    // Entries hear of each other often, since they place requests by each other's load. Processes beside ranks are told
    // when there is news, and tell the others where they are.
    if (this->options.is_entry) {
        const bool knows_all = this->shared.current().routing != nullptr;
        this->send_to(this->make_news(), this->targets(knows_all ? audience::entries : audience::everyone));
        return config::peer_update_interval;
    }
    bool is_coordinating = false;
    {
        const std::lock_guard lock{this->mutex};
        is_coordinating = this->rank && this->rank->is_coordinating;
    }
    const steady_time now = this->time.now();
    const bool tells_everyone = now - this->told_everyone_at >= config::rank_update_interval;
    if (tells_everyone) {
        this->told_everyone_at = now;
    }
    this->send_to(this->make_news(), this->targets(tells_everyone ? audience::everyone : audience::group));
    return is_coordinating ? config::coordinator_update_interval : config::rank_update_interval;
}

void peer_link::receive_loop() {
    std::array<char, receive_buffer_bytes> buffer{};
    while (!this->stopping) {
        try {
            if (!this->socket.poll(Poco::Timespan{0, receive_wait_us}, Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress from;
            const int length = this->socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            const result<inner::peer_update> news =
                inner::decode<inner::peer_update>(std::string{buffer.data(), static_cast<std::size_t>(length)});
            if (news) {
                this->take(*news, {from.host().toString(), from.port()});
            } else {
                this->log.warn("peer_news_unreadable", {{"from", from.toString()}});
            }
        } catch (const Poco::Exception&) {
            // The kernel reports an earlier send to a closed port here.
            continue;
        }
    }
}

void peer_link::take(const inner::peer_update& news, const net_address& from) {
    if (news.sender == this->options.own.name) {
        return;
    }
    {
        const std::lock_guard lock{this->mutex};
        peer& known = this->peers[news.sender];
        // Datagrams may overtake each other; a process at a new address starts its numbers anew.
        if (known.address == from && known.sequence >= news.sequence && known.heard_at &&
            known.sequence - news.sequence < config::peer_sequence_window) {
            return;
        }
        known = {from, news.is_entry, news.sequence, this->time.now(), news.beside};
    }
    this->board.take_peer_load(news.sender, news.loads);
    const routing_snapshot seen = this->shared.current();
    const std::uint64_t routing = seen.routing ? seen.routing->version() : 0;
    const std::uint64_t endpoints = seen.endpoints ? seen.endpoints->revision : 0;
    if (news.routing_version > routing || news.endpoints_revision > endpoints) {
        this->request_pull(from);
    } else if (news.store_age_ms >= 0 && news.routing_version == routing && news.endpoints_revision == endpoints) {
        // Only a peer with the same view proves that this view is as fresh as its read.
        this->shared.note_store_read(std::chrono::milliseconds{news.store_age_ms});
    }
}

void peer_link::request_pull(const net_address& from) {
    {
        const std::lock_guard lock{this->mutex};
        if (this->pulls.size() >= max_open_pulls ||
            std::find(this->pulls.begin(), this->pulls.end(), from) != this->pulls.end()) {
            return;
        }
        this->pulls.push_back(from);
    }
    this->changed.notify_all();
}

void peer_link::pull_loop() {
    while (true) {
        net_address from;
        {
            std::unique_lock lock{this->mutex};
            this->changed.wait(lock, [this] { return this->stopping.load() || !this->pulls.empty(); });
            if (this->stopping) {
                return;
            }
            from = this->pulls.front();
        }
        this->pull_from(from);
        const std::lock_guard lock{this->mutex};
        this->pulls.pop_front();
    }
}

void peer_link::pull_from(const net_address& from) {
    const routing_snapshot seen = this->shared.current();
    const inner::routing_pull_request request{seen.routing ? seen.routing->version() : 0,
                                              seen.endpoints ? seen.endpoints->revision : 0};
    result<inner::routing_pull_response> reply = inner::call_stream<inner::routing_pull_response>(
        from, this->options.own.name, request, config::state_pull_timeout);
    if (!reply) {
        this->log.warn("view_pull_failed", {{"peer", from.to_string()}, {"reason", reply.last_error().reason}});
        return;
    }
    bool is_new = false;
    if (reply->routing) {
        is_new = this->shared.take_routing(std::move(*reply->routing)) || is_new;
    }
    if (reply->endpoints) {
        is_new = this->shared.take_endpoints(std::move(*reply->endpoints)) || is_new;
    }
    if (is_new) {
        this->send_update();
    }
}

void peer_link::handle_stream(const inner::packet& first, inner::frame_channel& channel) {
    if (first.type != inner::routing_pull_request::type && this->next_handler != nullptr) {
        this->next_handler->handle_stream(first, channel);
        return;
    }
    const result<inner::routing_pull_request> request = inner::decode_body<inner::routing_pull_request>(first);
    if (!request) {
        static_cast<void>(
            channel.send(inner::failure_response{request.last_error().kind, request.last_error().reason}));
        return;
    }
    const routing_snapshot seen = this->shared.current();
    inner::routing_pull_response reply;
    if (seen.routing && seen.routing->version() > request->routing_version) {
        reply.routing = seen.routing->declared();
    }
    if (seen.endpoints && seen.endpoints->revision > request->endpoints_revision) {
        reply.endpoints = *seen.endpoints;
    }
    static_cast<void>(channel.send(reply));
}

} // namespace pomelohoist
