#include "spread/configuration_spreader.h"

#include "common/process_memory.h"
#include "inner/codec.h"
#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::chrono::milliseconds announce_timeout{150};
constexpr std::chrono::milliseconds pull_timeout{2000};
constexpr std::chrono::milliseconds start_retry_interval{200};
// A version just taken is announced at once, but not more often than this while deltas follow each other.
constexpr std::chrono::milliseconds min_announce_interval{20};
constexpr std::size_t max_wanted_pulls = 32;
constexpr std::size_t start_batch = 64;
constexpr double min_jitter = 0.5;
// A change of this size leaves some hundred kilobytes of free memory between the objects that stay.
constexpr std::size_t large_change_bytes = std::size_t{64} * 1024;
constexpr std::size_t large_change_patches = 256;

std::size_t byte_size(const inner::pull_response& reply) {
    std::size_t bytes = reply.snapshot.size();
    for (const std::string& delta : reply.deltas) {
        bytes += delta.size();
    }
    for (const std::string& host : reply.leaving_hosts) {
        bytes += host.size();
    }
    return bytes;
}

bool is_large(const std::vector<configuration_delta>& deltas) {
    std::size_t patches = 0;
    for (const configuration_delta& delta : deltas) {
        patches += delta.change.patches.size();
    }
    return patches > large_change_patches;
}

/// @returns a duration in [0.5, 1.5) of the given one, so that processes do not stay in step
std::chrono::milliseconds with_jitter(std::chrono::milliseconds duration, random_source& random) {
    const double factor = min_jitter + random.next_fraction();
    return std::chrono::milliseconds{static_cast<std::int64_t>(factor * static_cast<double>(duration.count()))};
}

} // namespace

configuration_spreader::configuration_spreader(const spreader_services& used, spreader_identity own)
    : services(used), identity(std::move(own)), store(used.table, used.objects),
      peers(used.time, this->identity.address, this->identity.data_centre) {}

configuration_spreader::~configuration_spreader() {
    this->stop();
}

void configuration_spreader::start() {
    this->peers.add_seeds(this->services.directory.seeds());
    this->threads.emplace_back([this] { this->store_loop(); });
    this->threads.emplace_back([this] { this->announce_loop(); });
    this->threads.emplace_back([this] { this->pull_loop(); });
}

void configuration_spreader::stop() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

bool configuration_spreader::wait_ready(std::chrono::milliseconds timeout) {
    std::unique_lock lock{this->mutex};
    this->changed.wait_for(lock, timeout, [this] { return this->ready || this->stopping; });
    return this->ready;
}

bool configuration_spreader::sleep_for(std::chrono::milliseconds duration) {
    std::unique_lock lock{this->mutex};
    return !this->changed.wait_for(lock, duration, [this] { return this->stopping; });
}

configuration_ptr configuration_spreader::current() const {
    return this->state.current();
}

bool configuration_spreader::is_leaving(const std::string& host) const {
    return this->state.is_leaving(host);
}

std::uint64_t configuration_spreader::host_list_version() const {
    return this->state.host_list_version();
}

std::size_t configuration_spreader::known_peers() const {
    return this->peers.size();
}

spread_counts configuration_spreader::counts() const {
    return {this->poll_count, this->pull_count, this->served_count, this->announce_count, this->byte_count};
}

bool configuration_spreader::is_newer(const offered_versions& offered) const {
    return offered.configuration_version > this->state.current()->version() ||
           offered.host_list_version > this->state.host_list_version();
}

inner::announce_response configuration_spreader::handle_announce(const inner::announce& received) {
    this->peers.hear_from(received.sender_address, received.data_centre);
    this->request_pull(received.sender_address, {received.configuration_version, received.host_list_version});
    return {this->state.current()->version(), this->state.host_list_version()};
}

inner::pull_response configuration_spreader::handle_pull(const inner::pull_request& received) {
    ++this->served_count;
    inner::pull_response reply = this->state.answer(received);
    this->byte_count += byte_size(reply);
    return reply;
}

void configuration_spreader::request_pull(const net_address& source, const offered_versions& offered) {
    if (!this->is_newer(offered)) {
        return;
    }
    {
        const std::lock_guard lock{this->mutex};
        if (this->wanted_pulls.size() < max_wanted_pulls) {
            this->wanted_pulls[source] = offered;
        }
    }
    this->changed.notify_all();
}

void configuration_spreader::pull_loop() {
    while (true) {
        net_address source;
        offered_versions offered;
        {
            std::unique_lock lock{this->mutex};
            this->changed.wait(lock, [this] { return this->stopping || !this->wanted_pulls.empty(); });
            if (this->stopping) {
                return;
            }
            // The highest version first; most of the other wishes are then met already.
            const auto best = std::max_element(
                this->wanted_pulls.begin(), this->wanted_pulls.end(), [](const auto& left, const auto& right) {
                    return left.second.configuration_version < right.second.configuration_version;
                });
            source = best->first;
            offered = best->second;
            this->wanted_pulls.erase(best);
        }
        if (this->is_newer(offered)) {
            this->pull(source);
        }
    }
}

result<done> configuration_spreader::pull(const net_address& source) {
    ++this->pull_count;
    const std::uint64_t before = this->state.current()->version();
    const inner::pull_request request{before, this->state.host_list_version()};
    const result<inner::pull_response> reply =
        inner::call_stream<inner::pull_response>(source, this->identity.name, request, pull_timeout);
    if (!reply) {
        this->services.log.debug("configuration_pull_failed",
                                 {{"peer", source.to_string()}, {"reason", reply.last_error().reason}});
        return reply.last_error();
    }
    this->byte_count += byte_size(*reply);
    result<done> taken = this->state.take_reply(*reply);
    if (!taken) {
        this->services.log.warn("configuration_reply_refused",
                                {{"peer", source.to_string()}, {"reason", taken.last_error().reason}});
        return taken;
    }
    if (byte_size(*reply) > large_change_bytes) {
        this->has_large_change = true;
    }
    this->note_taken(before, source.to_string());
    return taken;
}

result<done> configuration_spreader::pull_from(const net_address& source, std::uint64_t version) {
    if (this->state.current()->version() >= version) {
        return done{};
    }
    result<done> pulled = this->pull(source);
    if (pulled && this->state.current()->version() < version) {
        return failure{error_kind::stale_configuration, source.to_string() + " has a lower version than expected"};
    }
    return pulled;
}

void configuration_spreader::note_taken(std::uint64_t version_before, const std::string& source) {
    const configuration_ptr newest = this->state.current();
    if (newest->version() <= version_before) {
        return;
    }
    this->peers.set_declared(*newest);
    this->services.log.info("configuration_taken",
                            {{"version", std::to_string(newest->version())}, {"source", source}});
    {
        const std::lock_guard lock{this->mutex};
        this->has_news = true;
    }
    this->changed.notify_all();
}

void configuration_spreader::announce_loop() {
    while (true) {
        {
            std::unique_lock lock{this->mutex};
            const auto interval = with_jitter(config::announce_interval, this->services.random);
            this->changed.wait_for(lock, interval, [this] { return this->stopping || this->has_news; });
            if (this->stopping) {
                return;
            }
            this->has_news = false;
        }
        const std::vector<net_address> chosen = this->peers.choose(config::announce_peers, this->services.random);
        const auto replies = this->announce_to(chosen);
        // The first choice is a peer that is known to answer; the others are samples of all known ones.
        for (std::size_t i = 1; i < replies.size(); ++i) {
            this->peers.note_sample(replies[i].has_value());
        }
        if (!this->sleep_for(min_announce_interval)) {
            return;
        }
        this->release_memory_if_due();
    }
}

void configuration_spreader::release_memory_if_due() {
    // By now the thread that took the version has freed what it built it from.
    if (this->has_large_change.exchange(false)) {
        release_free_memory();
    }
}

std::vector<result<inner::announce_response>>
configuration_spreader::announce_to(const std::vector<net_address>& targets) {
    const inner::payload content =
        inner::to_payload(inner::announce{this->identity.address, this->identity.data_centre,
                                          this->state.current()->version(), this->state.host_list_version()});
    std::vector<inner::datagram_call> calls;
    calls.reserve(targets.size());
    for (const net_address& target : targets) {
        calls.push_back({target, content});
    }
    std::vector<result<inner::announce_response>> replies;
    if (calls.empty()) {
        return replies;
    }
    this->announce_count += calls.size();
    this->byte_count += calls.size() * content.body.size();
    const auto packets = this->services.calls.call_all(calls, announce_timeout);
    for (std::size_t i = 0; i < packets.size(); ++i) {
        if (!packets[i]) {
            replies.emplace_back(packets[i].last_error());
            continue;
        }
        this->byte_count += packets[i]->body.size();
        replies.push_back(inner::decode_body<inner::announce_response>(*packets[i]));
        if (replies.back()) {
            this->peers.note_answer(targets[i]);
            this->request_pull(targets[i], {replies.back()->configuration_version, replies.back()->host_list_version});
        }
    }
    return replies;
}

std::chrono::milliseconds configuration_spreader::next_poll_interval() {
    const double mean_ms =
        static_cast<double>(this->peers.estimate_running() + 1) / config::store_polls_per_second * 1000.0;
    const auto mean =
        std::max(config::min_store_poll_interval, std::chrono::milliseconds{static_cast<std::int64_t>(mean_ms)});
    return std::max(config::min_store_poll_interval, with_jitter(mean, this->services.random));
}

void configuration_spreader::store_loop() {
    while (!this->try_start()) {
        if (!this->sleep_for(with_jitter(start_retry_interval, this->services.random))) {
            return;
        }
    }
    {
        const std::lock_guard lock{this->mutex};
        this->ready = true;
    }
    this->changed.notify_all();
    while (this->sleep_for(this->next_poll_interval())) {
        ++this->poll_count;
        this->take_from_store();
    }
}

// Returns the version that the store names, or nothing when it cannot be read.
std::optional<std::uint64_t> configuration_spreader::take_from_store() {
    const result<std::uint64_t> head = this->store.read_version();
    this->note_store(head.has_value());
    if (head && *head > this->state.current()->version()) {
        const result<done> fetched = this->fetch_from_store();
        if (!fetched) {
            this->services.log.warn("configuration_fetch_failed", {{"reason", fetched.last_error().reason}});
        }
    }
    const result<host_list_content> hosts = this->services.hosts.read_hosts();
    if (hosts) {
        this->state.take_hosts(*hosts);
    }
    return head.value();
}

result<done> configuration_spreader::fetch_from_store() {
    const std::uint64_t before = this->state.current()->version();
    if (before > 0) {
        const result<std::vector<configuration_delta>> deltas = this->store.read_deltas(before);
        if (deltas && this->state.take_deltas(*deltas)) {
            this->has_large_change = this->has_large_change || is_large(*deltas);
            this->note_taken(before, "store");
            return done{};
        }
    }
    // A reader of its own, since it keeps what it has read, which would double the memory of the configuration.
    configuration_commit reader{this->services.table, this->services.objects};
    result<configuration> newest = reader.read_newest();
    if (!newest) {
        return newest.last_error();
    }
    this->state.take_configuration(std::move(*newest));
    this->has_large_change = true;
    this->note_taken(before, "store");
    return done{};
}

// Logs a change only, since an outage may last for long and every poll fails meanwhile.
void configuration_spreader::note_store(bool is_reachable) {
    if (this->store_reachable.exchange(is_reachable) == is_reachable) {
        return;
    }
    if (is_reachable) {
        this->services.log.info("store_reachable");
    } else {
        this->services.log.warn("store_unreachable");
    }
}

bool configuration_spreader::try_start() {
    const std::optional<std::uint64_t> head = this->take_from_store();
    std::vector<net_address> targets;
    for (const peer& seed : this->services.directory.seeds()) {
        targets.push_back(seed.inner);
    }
    std::uint64_t highest = this->ask_peers(targets).value_or(0);
    if (!head) {
        // The seeds may all be behind; the configuration that they gave names every agent.
        highest = std::max(highest, this->ask_peers(this->peers.all()).value_or(0));
    }
    const std::uint64_t reached = this->state.current()->version();
    return reached > 0 && reached >= highest && (!head || reached >= *head);
}

std::optional<std::uint64_t> configuration_spreader::ask_peers(const std::vector<net_address>& targets) {
    std::optional<std::uint64_t> highest;
    for (std::size_t begin = 0; begin < targets.size(); begin += start_batch) {
        const std::size_t end = std::min(begin + start_batch, targets.size());
        const std::vector<net_address> batch{targets.begin() + static_cast<std::ptrdiff_t>(begin),
                                             targets.begin() + static_cast<std::ptrdiff_t>(end)};
        const auto replies = this->announce_to(batch);
        for (std::size_t i = 0; i < replies.size(); ++i) {
            if (replies[i]) {
                highest = std::max(highest.value_or(0), replies[i]->configuration_version);
                this->pull_from(batch[i], replies[i]->configuration_version);
            }
        }
    }
    return highest;
}

} // namespace pomelohoist
