#include "direct/peer_link.h"

#include "direct/update_schedule.h"
#include "inner/codec.h"
#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t receive_buffer_bytes = 8192;
constexpr long receive_wait_us = 250000; // the receiving thread may notice a stop this late
constexpr std::size_t max_open_pulls = 4;

Poco::Net::SocketAddress to_poco(const net_address& address) {
    return Poco::Net::SocketAddress{address.ip, address.port};
}

} // namespace

peer_link::peer_link(peer_link_options link_options, routing_state& current_state, load_tracker& loads,
                     crash_quarantine* known_crashes, endpoint_statements* stated, unread_prompts* unread,
                     inner::stream_handler* fallback_handler, const clock& time_source, structured_log& process_log)
    : options(std::move(link_options)), state(current_state), tracker(loads), crashes(known_crashes),
      statements(stated), prompts(unread), next_handler(fallback_handler), time(time_source), log(process_log),
      socket(to_poco(this->options.own.address), true), listener(this->options.own.address),
      // A restarted process must continue above the sequence numbers of its previous run.
      next_sequence(static_cast<std::uint64_t>(this->time.now().time_since_epoch().count())) {}

peer_link::~peer_link() {
    this->stop();
}

void peer_link::start() {
    this->server = std::make_unique<inner::stream_server>(this->listener, this->options.own.name, *this);
    this->threads.emplace_back([this] { this->receive_loop(); });
    this->threads.emplace_back([this] { this->update_loop(); });
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
            peer_state& added = this->peers[record.name];
            added.address = record.address;
            added.socket_address = to_poco(record.address);
        }
    }
}

void peer_link::set_seeds(std::vector<net_address> addresses) {
    const std::lock_guard lock{this->mutex};
    this->options.seeds = std::move(addresses);
}

bool peer_link::has_recent_reports() const {
    return (this->crashes != nullptr && this->crashes->evidence()) ||
           (this->statements != nullptr &&
            (!this->statements->report(config::periodic_limit_report_time).empty() ||
             !this->statements->report_leaves(config::periodic_limit_report_time).empty()));
}

inner::peer_update peer_link::make_update(update_content content) {
    const bool is_full = content == update_content::full;
    inner::peer_update update;
    update.sender = this->options.own.name;
    update.is_entry = this->options.is_entry;
    update.sequence = this->next_sequence++;
    const routing_snapshot snapshot = this->state.current();
    update.routing_version = snapshot.versions().routing;
    update.endpoints_revision = snapshot.versions().endpoints;
    if (snapshot.evacuations) {
        update.evacuations_revision = snapshot.evacuations->revision;
    }
    const auto age = this->state.store_age();
    update.store_age_ms = age ? age->count() : -1;
    update.loads = this->tracker.own_loads();
    if (this->crashes != nullptr) {
        update.quarantine_summary = this->crashes->summary();
        update.evidence = is_full ? this->crashes->evidence() : std::nullopt;
    }
    if (this->statements != nullptr) {
        const auto max_age = is_full ? config::periodic_limit_report_time : config::limit_report_time;
        update.limits = this->statements->report(max_age);
        update.leaves = this->statements->report_leaves(max_age);
        update.cold = this->statements->report_cold();
    }
    update.unread = this->prompts != nullptr ? this->prompts->own_loads() : std::nullopt;
    {
        const std::lock_guard lock{this->mutex};
        update.local_rank = this->rank;
        this->possible_entry_count = this->count_possible_entries();
    }
    return update;
}

std::vector<Poco::Net::SocketAddress> peer_link::targets(audience recipients) const {
    const std::lock_guard lock{this->mutex};
    std::vector<Poco::Net::SocketAddress> addresses;
    for (const auto& [name, peer] : this->peers) {
        if (this->is_recipient(peer, recipients)) {
            addresses.push_back(peer.socket_address);
        }
    }
    if (recipients == audience::everyone) {
        for (const net_address& seed : this->options.seeds) {
            const Poco::Net::SocketAddress address = to_poco(seed);
            if (seed != this->options.own.address &&
                std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
                addresses.push_back(address);
            }
        }
    }
    return addresses;
}

void peer_link::send_to(const std::string& bytes, const std::vector<Poco::Net::SocketAddress>& addresses) {
    for (const Poco::Net::SocketAddress& target : addresses) {
        try {
            this->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), target);
        } catch (const Poco::Exception&) {
            // A failed send counts as a lost datagram; the next update follows soon.
            continue;
        }
    }
}

void peer_link::send_update() {
    this->send_to(this->encode_update(update_content::full), this->targets(audience::everyone));
}

std::size_t peer_link::live_entries() const {
    return static_cast<std::size_t>(
               std::count_if(this->peers.begin(), this->peers.end(),
                             [this](const auto& each) { return each.second.is_entry && this->is_live(each.second); })) +
           (this->options.is_entry ? 1U : 0U);
}

void peer_link::send_load() {
    {
        const std::lock_guard lock{this->mutex};
        const steady_time now = this->time.now();
        if (now - this->load_sent_at < load_update_interval(this->live_entries())) {
            if (!this->is_load_unsent) {
                this->is_load_unsent = true;
                this->is_update_due = true; // the update thread sends it when the interval has passed
                this->changed.notify_all();
            }
            return;
        }
        this->load_sent_at = now;
        this->is_load_unsent = false;
    }
    this->send_to(this->encode_update(update_content::latest), this->targets(audience::live_entries));
}

void peer_link::send_crash_evidence() {
    this->send_to(this->encode_update(update_content::full), this->targets(audience::entries));
}

std::uint32_t peer_link::count_possible_entries() const {
    std::uint32_t others = 0;
    std::set<net_address> known{this->options.own.address};
    for (const auto& [name, peer] : this->peers) {
        known.insert(peer.address);
        others += peer.is_entry || !peer.last_seen_at ? 1U : 0U;
    }
    for (const net_address& seed : this->options.seeds) {
        others += known.insert(seed).second ? 1U : 0U;
    }
    return others + (this->options.is_entry ? 1U : 0U);
}

bool peer_link::is_recipient(const peer_state& peer, audience recipients) const {
    switch (recipients) {
    case audience::live_entries:
        return peer.is_entry && this->is_live(peer);
    case audience::silent_entries:
        return (peer.is_entry || !peer.last_seen_at) && !this->is_live(peer);
    case audience::entries:
        // An unresponsive entry still receives updates: a network partition may have separated the two processes.
        return peer.is_entry || !peer.last_seen_at;
    case audience::group:
        return peer.local_rank && this->rank && peer.local_rank->group == this->rank->group &&
               (is_succession_candidate(this->rank->rank) || is_succession_candidate(peer.local_rank->rank));
    case audience::everyone:
    case audience::count:
        break;
    }
    return true;
}

bool peer_link::is_live(const peer_state& peer) const {
    std::chrono::milliseconds limit = config::peer_update_timeout;
    if (peer.local_rank && peer.local_rank->is_coordinating) {
        // A coordinator may become unresponsive while its group is held, which delays all streams of the group. The
        // coordinator then has to be replaced soon.
        limit = config::coordinator_update_timeout;
    } else if (!peer.is_entry) {
        const bool is_close = this->is_recipient(peer, audience::group);
        limit = config::missed_rank_updates *
                    (is_close ? config::rank_update_interval : rank_update_interval(this->peers.size())) +
                config::rank_update_delay;
    }
    return peer.last_seen_at && this->time.now() - *peer.last_seen_at <= limit;
}

void peer_link::set_rank(const std::optional<inner::rank_info>& own_rank) {
    const std::lock_guard lock{this->mutex};
    this->rank = own_rank;
    // A coordinator sends updates more often, and the others expect them at once.
    this->is_update_due = true;
    this->changed.notify_all();
}

void peer_link::update_loop() {
    while (!this->stopping) {
        const std::chrono::milliseconds wait = this->send_due_updates();
        std::unique_lock lock{this->mutex};
        this->changed.wait_for(lock, wait, [this] { return this->stopping.load() || this->is_update_due; });
        this->is_update_due = false;
    }
}

std::chrono::milliseconds peer_link::send_due_updates() {
    // Entries send each other updates often, since they place requests by each other's load. A process that manages a
    // rank receives updates from entries when something changes, and sends its own updates so that the other
    // processes know its address.
    return this->options.is_entry ? this->send_due_entry_updates() : this->send_due_rank_updates();
}

std::chrono::milliseconds peer_link::send_due_entry_updates() {
    const steady_time now = this->time.now();
    std::optional<audience> recipients;
    update_content content = update_content::latest;
    steady_time next = now;
    {
        const std::lock_guard lock{this->mutex};
        const std::chrono::milliseconds load_interval = load_update_interval(this->live_entries());
        if (now - this->periodic_sent_at >= config::peer_update_interval) {
            const bool has_routing = this->state.current().routing != nullptr;
            // A load update contains all that a periodic update does, unless recent reports have to be repeated.
            const bool is_load_recent = now - this->load_sent_at < config::peer_update_interval &&
                                        !this->is_load_unsent && !this->has_recent_reports();
            recipients = !has_routing     ? audience::everyone
                         : is_load_recent ? audience::silent_entries
                                          : audience::entries;
            content = update_content::full;
            this->periodic_sent_at = now;
        } else if (this->is_load_unsent && now - this->load_sent_at >= load_interval) {
            recipients = audience::live_entries;
        }
        if (recipients && *recipients != audience::silent_entries) {
            this->load_sent_at = now;
            this->is_load_unsent = false;
        }
        next = this->periodic_sent_at + config::peer_update_interval;
        next = this->is_load_unsent ? std::min(next, this->load_sent_at + load_interval) : next;
    }
    if (recipients) {
        this->send_to(this->encode_update(content), this->targets(*recipients));
    }
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(next - now), std::chrono::milliseconds{1});
}

std::chrono::milliseconds peer_link::send_due_rank_updates() {
    bool is_coordinating = false;
    std::chrono::milliseconds interval{};
    {
        const std::lock_guard lock{this->mutex};
        is_coordinating = this->rank && this->rank->is_coordinating;
        interval = rank_update_interval(this->peers.size());
    }
    const steady_time now = this->time.now();
    const bool is_everyone_due = now - this->periodic_sent_at >= interval;
    if (is_everyone_due) {
        this->periodic_sent_at = now;
    }
    this->send_to(this->encode_update(update_content::full),
                  this->targets(is_everyone_due ? audience::everyone : audience::group));
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
            const result<inner::peer_update> update =
                inner::decode<inner::peer_update>(std::string{buffer.data(), static_cast<std::size_t>(length)});
            if (update) {
                this->handle_update(*update, {from.host().toString(), from.port()});
            } else {
                this->log.warn("peer_update_unreadable", {{"from", from.toString()}});
            }
        } catch (const Poco::Exception&) {
            // The kernel reports an earlier send to a closed port as an error of the next receive call.
            continue;
        }
    }
}

void peer_link::handle_update(const inner::peer_update& update, const net_address& from) {
    if (update.sender == this->options.own.name) {
        return;
    }
    {
        const std::lock_guard lock{this->mutex};
        peer_state& peer = this->peers[update.sender];
        // Datagrams may arrive out of order, so an update with an old sequence number is dropped. A sender with a new
        // address, or with a sequence number far below the last one, is a different process that has its own sequence.
        if (peer.address == from && peer.sequence >= update.sequence && peer.last_seen_at &&
            peer.sequence - update.sequence < config::peer_sequence_window) {
            return;
        }
        const Poco::Net::SocketAddress socket_address = peer.address == from ? peer.socket_address : to_poco(from);
        peer = {from, socket_address, update.is_entry, update.sequence, this->time.now(), update.local_rank};
    }
    if (update.is_entry) {
        this->tracker.set_peer_load(update.sender, update.loads);
        if (this->prompts != nullptr) {
            this->prompts->set_peer_loads(update.sender, update.unread);
        }
        if (this->statements != nullptr) {
            this->statements->merge(update.sender, update.limits);
            this->statements->merge_leaves(update.sender, update.leaves);
            this->statements->merge_cold(update.cold);
        }
    }
    if (this->crashes != nullptr && update.evidence && this->crashes->merge(*update.evidence) &&
        this->rank_among_live() < config::correcting_entries) {
        this->send_crash_evidence();
    }
    const routing_versions known = this->state.current().versions();
    const routing_versions confirmed = this->state.confirmed_versions();
    const bool has_quarantine = this->crashes != nullptr && update.quarantine_summary != 0 &&
                                update.quarantine_summary != this->crashes->summary();
    if (update.versions().has_newer_than(confirmed) || has_quarantine) {
        this->request_pull(from);
    } else if (update.versions().has_newer_than(known)) {
        // The peer's list is older than the newest reading of this process, although its revision is higher than that
        // of the list in use.
        this->state.adopt_confirmed_versions();
        this->send_update();
    } else if (update.store_age_ms >= 0 && update.versions() == known) {
        // When all versions are equal, the peer's last read of the store also confirms the routing state of this
        // process, so the age of that read is adopted.
        this->state.record_store_read(std::chrono::milliseconds{update.store_age_ms});
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
    const inner::routing_pull_request request{this->state.confirmed_versions()};
    const steady_time asked_at = this->time.now();
    result<inner::routing_pull_response> response = inner::call_stream<inner::routing_pull_response>(
        from, this->options.own.name, request, config::state_pull_timeout);
    if (!response) {
        this->log.warn("routing_pull_failed", {{"peer", from.to_string()}, {"reason", response.last_error().reason}});
        return;
    }
    bool is_new = false;
    // Before the routing: a process becomes ready with its first routing.
    if (response->evacuations) {
        is_new = this->state.apply_evacuations(std::move(*response->evacuations));
    }
    if (response->routing) {
        is_new = this->state.apply_routing(std::move(*response->routing)) || is_new;
    }
    if (response->endpoints) {
        is_new = this->state.merge_endpoints(*response->endpoints, asked_at) || is_new;
    }
    if (this->crashes != nullptr) {
        this->crashes->adopt(response->quarantines, asked_at);
    }
    // The entries tell everyone, so the many processes beside ranks need not.
    if (is_new && this->options.is_entry) {
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
    const routing_snapshot snapshot = this->state.current();
    inner::routing_pull_response response;
    if (snapshot.versions().routing > request->known.routing) {
        response.routing = snapshot.routing->declared();
    }
    if (snapshot.versions().endpoints > request->known.endpoints) {
        response.endpoints = this->state.endpoint_report();
    }
    if (snapshot.versions().evacuations > request->known.evacuations) {
        response.evacuations = *snapshot.evacuations;
    }
    if (this->crashes != nullptr) {
        response.quarantines = this->crashes->quarantines();
    }
    static_cast<void>(channel.send(response));
}

} // namespace pomelohoist
