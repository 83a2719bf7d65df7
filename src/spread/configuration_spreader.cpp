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
// A newly applied version is announced at once, but successive deltas are not announced more often than this.
constexpr std::chrono::milliseconds min_announce_interval{20};
constexpr std::size_t max_pending_pulls = 32;
constexpr std::size_t start_query_batch = 64;
constexpr double min_jitter = 0.5;
// A change of this size leaves some hundred kilobytes of free memory between the remaining objects.
constexpr std::size_t large_change_bytes = std::size_t{64} * 1024;
constexpr std::size_t large_change_patches = 256;

std::size_t byte_size(const inner::pull_response& response) {
    std::size_t bytes = response.snapshot.size();
    for (const std::string& delta : response.deltas) {
        bytes += delta.size();
    }
    for (const std::string& host : response.leaving_hosts) {
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

/// @returns the duration times a random factor in [0.5, 1.5), so that processes do not act at the same time
std::chrono::milliseconds with_jitter(std::chrono::milliseconds duration, random_source& random) {
    const double factor = min_jitter + random.next_fraction();
    return std::chrono::milliseconds{static_cast<std::int64_t>(factor * static_cast<double>(duration.count()))};
}

} // namespace

configuration_spreader::configuration_spreader(const spreader_services& used_services, spreader_identity own_identity)
    : services(used_services), identity(std::move(own_identity)), store(used_services.table, used_services.objects),
      peers(used_services.time, this->identity.address, this->identity.data_centre) {}

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
    this->peers.record_seen(received.sender_address, received.data_centre);
    this->request_pull(received.sender_address, {received.configuration_version, received.host_list_version});
    return {this->state.current()->version(), this->state.host_list_version()};
}

inner::pull_response configuration_spreader::handle_pull(const inner::pull_request& received) {
    ++this->served_count;
    inner::pull_response response = this->state.serve_pull(received);
    this->byte_count += byte_size(response);
    return response;
}

void configuration_spreader::request_pull(const net_address& source, const offered_versions& offered) {
    if (!this->is_newer(offered)) {
        return;
    }
    {
        const std::lock_guard lock{this->mutex};
        if (this->pending_pulls.size() < max_pending_pulls) {
            this->pending_pulls[source] = offered;
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
            this->changed.wait(lock, [this] { return this->stopping || !this->pending_pulls.empty(); });
            if (this->stopping) {
                return;
            }
            // The highest version is pulled first; it makes most of the other pulls unnecessary.
            const auto best = std::max_element(
                this->pending_pulls.begin(), this->pending_pulls.end(), [](const auto& left, const auto& right) {
                    return left.second.configuration_version < right.second.configuration_version;
                });
            source = best->first;
            offered = best->second;
            this->pending_pulls.erase(best);
        }
        if (this->is_newer(offered)) {
            this->pull(source);
        }
    }
}

result<done> configuration_spreader::pull(const net_address& source) {
    ++this->pull_count;
    const std::uint64_t version_before = this->state.current()->version();
    const inner::pull_request request{version_before, this->state.host_list_version()};
    const result<inner::pull_response> response =
        inner::call_stream<inner::pull_response>(source, this->identity.name, request, pull_timeout);
    if (!response) {
        this->services.log.debug("configuration_pull_failed",
                                 {{"peer", source.to_string()}, {"reason", response.last_error().reason}});
        return response.last_error();
    }
    this->byte_count += byte_size(*response);
    result<done> applied = this->state.apply_response(*response);
    if (!applied) {
        this->services.log.warn("configuration_response_refused",
                                {{"peer", source.to_string()}, {"reason", applied.last_error().reason}});
        return applied;
    }
    if (byte_size(*response) > large_change_bytes) {
        this->has_large_change = true;
    }
    this->on_configuration_applied(version_before, source.to_string());
    return applied;
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

void configuration_spreader::on_configuration_applied(std::uint64_t version_before, const std::string& source) {
    const configuration_ptr newest = this->state.current();
    if (newest->version() <= version_before) {
        return;
    }
    this->peers.set_declared(*newest);
    this->services.log.info("configuration_applied",
                            {{"version", std::to_string(newest->version())}, {"source", source}});
    {
        const std::lock_guard lock{this->mutex};
        this->has_unannounced_version = true;
    }
    this->changed.notify_all();
}

void configuration_spreader::announce_loop() {
    while (true) {
        {
            std::unique_lock lock{this->mutex};
            const auto interval = with_jitter(config::announce_interval, this->services.random);
            this->changed.wait_for(lock, interval, [this] { return this->stopping || this->has_unannounced_version; });
            if (this->stopping) {
                return;
            }
            this->has_unannounced_version = false;
        }
        const std::vector<net_address> targets = this->peers.choose(config::announce_peers, this->services.random);
        const auto responses = this->announce_to(targets);
        // The first target is a peer that announced itself or responded recently, if there is any. It is therefore
        // not a random sample; the other targets are random samples of all known peers.
        for (std::size_t i = 1; i < responses.size(); ++i) {
            this->peers.record_sample(responses[i].has_value());
        }
        if (!this->sleep_for(min_announce_interval)) {
            return;
        }
        this->release_memory_if_due();
    }
}

void configuration_spreader::release_memory_if_due() {
    // By now the thread that applied the version has freed the data that it was built from.
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
    std::vector<result<inner::announce_response>> responses;
    if (calls.empty()) {
        return responses;
    }
    this->announce_count += calls.size();
    this->byte_count += calls.size() * content.body.size();
    const auto packets = this->services.calls.call_all(calls, announce_timeout);
    for (std::size_t i = 0; i < packets.size(); ++i) {
        if (!packets[i]) {
            responses.emplace_back(packets[i].last_error());
            continue;
        }
        this->byte_count += packets[i]->body.size();
        responses.push_back(inner::decode_body<inner::announce_response>(*packets[i]));
        if (responses.back()) {
            this->peers.record_response(targets[i]);
            this->request_pull(targets[i],
                               {responses.back()->configuration_version, responses.back()->host_list_version});
        }
    }
    return responses;
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
        this->update_from_store();
    }
}

// Returns the version of the head in the store, or nothing when it cannot be read.
std::optional<std::uint64_t> configuration_spreader::update_from_store() {
    const result<std::uint64_t> head = this->store.read_version();
    this->record_store_state(head.has_value());
    if (head && *head > this->state.current()->version()) {
        const result<done> fetched = this->fetch_from_store();
        if (!fetched) {
            this->services.log.warn("configuration_fetch_failed", {{"reason", fetched.last_error().reason}});
        }
    }
    const result<host_list_content> hosts = this->services.hosts.read_hosts();
    if (hosts) {
        this->state.apply_hosts(*hosts);
    }
    return head.value();
}

result<done> configuration_spreader::fetch_from_store() {
    const std::uint64_t version_before = this->state.current()->version();
    if (version_before > 0) {
        const result<std::vector<configuration_delta>> deltas = this->store.read_deltas(version_before);
        if (deltas && this->state.apply_deltas(*deltas)) {
            this->has_large_change = this->has_large_change || is_large(*deltas);
            this->on_configuration_applied(version_before, "store");
            return done{};
        }
    }
    // Uses a temporary reader: `store` would cache a second copy of the configuration, which doubles its memory.
    configuration_commit reader{this->services.table, this->services.objects};
    result<configuration> newest = reader.read_newest();
    if (!newest) {
        return newest.last_error();
    }
    this->state.apply_configuration(std::move(*newest));
    this->has_large_change = true;
    this->on_configuration_applied(version_before, "store");
    return done{};
}

// Logs only when the store becomes reachable or unreachable: every poll fails during an outage, which may last long.
void configuration_spreader::record_store_state(bool is_reachable) {
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
    const std::optional<std::uint64_t> head = this->update_from_store();
    std::vector<net_address> targets;
    for (const peer& seed : this->services.directory.seeds()) {
        targets.push_back(seed.inner);
    }
    std::uint64_t highest = this->query_peers(targets).value_or(0);
    if (!head) {
        // The seeds may all have old versions; the configuration pulled from them lists every agent.
        highest = std::max(highest, this->query_peers(this->peers.all()).value_or(0));
    }
    const std::uint64_t own_version = this->state.current()->version();
    return own_version > 0 && own_version >= highest && (!head || own_version >= *head);
}

std::optional<std::uint64_t> configuration_spreader::query_peers(const std::vector<net_address>& targets) {
    std::optional<std::uint64_t> highest;
    for (std::size_t begin = 0; begin < targets.size(); begin += start_query_batch) {
        const std::size_t end = std::min(begin + start_query_batch, targets.size());
        const std::vector<net_address> batch{targets.begin() + static_cast<std::ptrdiff_t>(begin),
                                             targets.begin() + static_cast<std::ptrdiff_t>(end)};
        const auto responses = this->announce_to(batch);
        for (std::size_t i = 0; i < responses.size(); ++i) {
            if (responses[i]) {
                highest = std::max(highest.value_or(0), responses[i]->configuration_version);
                this->pull_from(batch[i], responses[i]->configuration_version);
            }
        }
    }
    return highest;
}

} // namespace pomelohoist
