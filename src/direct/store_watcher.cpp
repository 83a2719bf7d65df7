#include "direct/store_watcher.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

store_watcher::store_watcher(control_store& platform, peer_record own, bool is_entry_process,
                             routing_state& current_state, peer_link& link, crash_quarantine* known_crashes,
                             endpoint_statements* stated, const clock& time_source, structured_log& process_log,
                             metrics_registry& metrics)
    : store(platform), self(std::move(own)), is_entry(is_entry_process), state(current_state), peers(link),
      statements(stated), time(time_source), log(process_log), calls(metrics.get_counter("store_calls_total")),
      failures(metrics.get_counter("store_failures_total")) {
    if (known_crashes != nullptr) {
        this->quarantines.emplace(this->store, *known_crashes, this->time, this->calls);
    }
}

store_watcher::~store_watcher() {
    this->stop();
}

void store_watcher::start() {
    this->thread = std::thread{[this] { this->watch_loop(); }};
}

void store_watcher::stop() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void store_watcher::pause(std::chrono::milliseconds duration) {
    std::unique_lock lock{this->mutex};
    this->stopped.wait_for(lock, duration, [this] { return this->stopping.load(); });
}

void store_watcher::record_call(const result<done>& outcome, const char* call) {
    this->calls.add();
    if (outcome) {
        if (this->has_failed) {
            this->log.info("store_recovered", {{"call", call}});
        }
        this->has_failed = false;
        return;
    }
    this->failures.add();
    this->last_failure = this->time.now();
    if (!this->has_failed) {
        this->log.warn("store_call_failed", {{"call", call}, {"reason", outcome.last_error().reason}});
    }
    this->has_failed = true;
}

std::chrono::milliseconds store_watcher::stale_after() const {
    if (!this->is_entry) {
        return config::rank_state_stale_time;
    }
    return config::state_stale_time +
           config::state_stale_step * std::min(this->peers.rank_among_live(), config::state_stale_ranks);
}

void store_watcher::watch_loop() {
    while (!this->stopping) {
        this->state.apply_due_changes();
        const auto age = this->state.store_age();
        const bool has_full_state = this->state.current().routing && this->state.current().endpoints;
        const bool is_first = this->is_entry && this->peers.rank_among_live() == 0;
        if (this->must_register()) {
            this->register_self();
        }
        // Before the first read of the routing: no request is forwarded before the quarantines are loaded, unless their
        // table is unavailable.
        this->sync_quarantines(this->is_reading);
        // The first live entry reads continuously. Other entries read while their routing state is missing or stale,
        // other processes only while theirs is stale. A read by this process or by a peer refreshes the state, and
        // a process other than the first live entry then stops reading.
        const bool is_stale = age ? *age > this->stale_after() : this->is_entry;
        const bool must_read = is_first || is_stale || (this->is_entry && !has_full_state);
        if (must_read != this->is_reading) {
            this->is_reading = must_read;
            const std::vector<log_field> fields{{"age_ms", age ? std::to_string(age->count()) : "none"},
                                                {"rank", std::to_string(this->peers.rank_among_live())}};
            if (must_read) {
                this->log.info("store_reading_started", fields);
            } else {
                this->log.info("store_reading_stopped", fields);
            }
            // The next read fetches the full state: the last watched revision may be older than the history that the
            // store keeps.
            this->routing_revision.reset();
            this->endpoints_revision.reset();
        }
        if (!must_read) {
            this->pause(this->is_entry ? config::state_check_interval : config::rank_update_interval);
            continue;
        }
        if (!this->read_changes()) {
            // Only the first live entries retry often: frequent retries by more entries would add load to a failing
            // store.
            const bool is_preferred = this->peers.rank_among_live() < config::store_preferred_ranks;
            this->pause(this->is_entry && is_preferred ? config::store_retry_interval
                                                       : config::store_slow_retry_interval);
        }
    }
}

bool store_watcher::must_register() const {
    const std::optional<steady_time> restored_at = this->state.last_restore();
    if (!this->is_registered || restored_at == this->registered_after) {
        return !this->is_registered;
    }
    // All processes learn of a restore at about the same time; their calls are spread.
    const auto spread = static_cast<std::uint64_t>(config::restored_registration_spread.count());
    const std::chrono::milliseconds delay{static_cast<std::int64_t>(hash64(this->self.name) % spread)};
    return this->time.now() - *restored_at >= delay;
}

void store_watcher::register_self() {
    const std::optional<steady_time> restored_at = this->state.last_restore();
    const result<done> registered = this->store.register_peer(this->self);
    this->record_call(registered, "register_peer");
    if (!registered) {
        return;
    }
    // This process registers before it reads the peers, so that of two processes that start at the same time at least
    // one finds the other.
    const result<std::vector<peer_record>> records = this->store.read_peers();
    this->record_call(records ? result<done>{done{}} : result<done>{records.last_error()}, "read_peers");
    if (records) {
        this->peers.add_peers(*records);
        this->peers.send_update();
        this->is_registered = true;
        this->registered_after = restored_at;
    }
}

void store_watcher::sync_quarantines(bool is_reader) {
    if (!this->quarantines || this->time.now() < this->quarantine_retry_at) {
        return;
    }
    // Another process may have written quarantines that this process has not received: an earlier reader, or the reader
    // of processes that this process cannot reach.
    const bool is_read_due =
        !this->quarantines_read_at ||
        (is_reader && this->time.now() - *this->quarantines_read_at >= config::quarantine_read_interval);
    result<done> synced = done{};
    if (is_read_due) {
        synced = this->quarantines->load();
    }
    if (synced) {
        this->quarantines_read_at = is_read_due ? this->time.now() : this->quarantines_read_at;
        synced = is_reader ? this->quarantines->save() : synced;
    }
    // Not recorded as a failure of the store: removals of endpoints are delayed after one.
    if (!synced) {
        this->failures.add();
        this->quarantine_retry_at = this->time.now() + config::store_slow_retry_interval;
        if (!this->has_quarantines_failed) {
            this->log.warn("quarantines_unavailable", {{"reason", synced.last_error().reason}});
        }
    }
    this->has_quarantines_failed = !synced;
}

bool store_watcher::read_changes() {
    const bool has_read = this->read_endpoints() && this->read_routing();
    if (has_read) {
        this->state.record_store_read(std::chrono::milliseconds{0});
        this->peers.send_update();
    }
    return has_read;
}

bool store_watcher::is_history_dropped(const failure& reason, const char* watched) {
    if (reason.kind != error_kind::stale_configuration) {
        return false;
    }
    // The store has responded, so it still counts as reliable; the caller then reads the full state.
    this->calls.add();
    this->log.info("store_history_dropped", {{"followed", watched}});
    return true;
}

bool store_watcher::read_routing() {
    const bool is_full = !this->routing_revision;
    const result<routing_change> change =
        is_full ? this->store.read_routing()
                : this->store.watch_routing(*this->routing_revision, config::store_watch_wait);
    if (!change) {
        if (this->is_history_dropped(change.last_error(), "routing")) {
            this->routing_revision.reset();
            return this->read_routing();
        }
        this->record_call(change.last_error(), "read_routing");
        return false;
    }
    this->record_call(done{}, "read_routing");
    this->state.observe_era(change->revision.era);
    this->routing_revision = change->revision;
    // Before the routing: a process becomes ready with its first routing.
    this->apply_evacuations(*change, is_full);
    if (change->content) {
        this->state.apply_routing(*change->content);
    }
    return true;
}

void store_watcher::apply_evacuations(const routing_change& change, bool is_full) {
    if (is_full) {
        this->evacuated.clear();
    }
    for (const evacuation_change& each : change.evacuations) {
        if (each.is_evacuated) {
            this->evacuated.insert(each.data_centre);
        } else {
            this->evacuated.erase(each.data_centre);
        }
    }
    // Passed on after each read, since a peer may have sent a list that was taken back before this process began to
    // read.
    this->state.read_evacuations(
        {make_list_revision(change.revision), {this->evacuated.begin(), this->evacuated.end()}});
}

bool store_watcher::read_endpoints() {
    if (!this->endpoints_revision) {
        const result<endpoint_snapshot> snapshot = this->store.read_endpoints();
        this->record_call(snapshot ? result<done>{done{}} : result<done>{snapshot.last_error()}, "read_endpoints");
        if (snapshot) {
            this->state.observe_era(snapshot->revision.era);
            this->record_cold(snapshot->cold);
            this->replace_endpoints(*snapshot);
            this->publish();
        }
        return snapshot.has_value();
    }
    const result<endpoint_changes> changes = this->store.watch_endpoints(*this->endpoints_revision);
    if (!changes) {
        if (this->is_history_dropped(changes.last_error(), "endpoints")) {
            this->endpoints_revision.reset();
            return this->read_endpoints();
        }
        this->record_call(changes.last_error(), "follow_endpoints");
        return false;
    }
    this->record_call(done{}, "follow_endpoints");
    this->state.observe_era(changes->revision.era);
    this->record_cold(changes->cold);
    this->apply(*changes);
    this->publish();
    return true;
}

void store_watcher::record_cold(const std::vector<cold_endpoint>& cold) {
    if (this->statements == nullptr) {
        return;
    }
    for (const cold_endpoint& each : cold) {
        this->statements->record_cold(each.endpoint, each.left);
    }
}

bool store_watcher::is_store_reliable() const {
    const auto is_over = [this](const std::optional<steady_time>& at) {
        return !at || this->time.now() - *at > config::store_recovery_grace;
    };
    return is_over(this->last_failure) && is_over(this->state.last_restore());
}

void store_watcher::apply(const endpoint_changes& changes) {
    for (const endpoint_change& change : changes.changes) {
        if (change.record) {
            this->endpoints[change.instance] = *change.record;
        } else {
            this->endpoints.erase(change.instance);
        }
    }
    this->endpoints_revision = changes.revision;
}

void store_watcher::replace_endpoints(const endpoint_snapshot& snapshot) {
    this->endpoints.clear();
    for (const endpoint_record& record : snapshot.endpoints) {
        this->endpoints[record.instance] = record;
    }
    this->endpoints_revision = snapshot.revision;
}

void store_watcher::publish() {
    endpoint_list list{make_list_revision(*this->endpoints_revision), {}};
    list.endpoints.reserve(this->endpoints.size());
    for (const auto& [instance, record] : this->endpoints) {
        list.endpoints.push_back(record);
    }
    list.endpoints = without_superseded(std::move(list.endpoints));
    // Registrations that expired during an outage of the store are renewed soon after the outage.
    this->state.apply_endpoints(std::move(list),
                                this->is_store_reliable() ? missing_endpoints::removed : missing_endpoints::kept);
    this->state.apply_due_changes();
}

} // namespace pomelohoist
