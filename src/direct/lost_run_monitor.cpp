#include "direct/lost_run_monitor.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelohoist {

bool has_restarted(const endpoint_record& endpoint, const endpoint_list& current) {
    return endpoint.started_ms != 0 &&
           std::any_of(current.endpoints.begin(), current.endpoints.end(), [&endpoint](const endpoint_record& other) {
               return (other.address == endpoint.address || other.instance == endpoint.instance) &&
                      other.service == endpoint.service && other.started_ms > endpoint.started_ms;
           });
}

lost_run_monitor::lost_run_monitor(endpoint_prober& endpoints, const routing_state& current_state,
                                   crash_quarantine& known_crashes, peer_link& link, const clock& time_source,
                                   structured_log& process_log, metrics_registry& process_metrics)
    : prober(endpoints), state(current_state), crashes(known_crashes), peers(link), time(time_source), log(process_log),
      metrics(process_metrics), thread([this] { this->check_loop(); }) {}

lost_run_monitor::~lost_run_monitor() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void lost_run_monitor::watch(const unexplained_run& lost) {
    {
        const std::lock_guard lock{this->mutex};
        if (this->runs.size() >= config::max_watched_runs) {
            this->runs.erase(this->runs.begin());
        }
        this->runs.push_back(lost);
    }
    this->changed.notify_all();
}

void lost_run_monitor::check_loop() {
    std::unique_lock lock{this->mutex};
    while (!this->stopping) {
        if (this->runs.empty()) {
            this->changed.wait(lock, [this] { return this->stopping || !this->runs.empty(); });
            continue;
        }
        this->changed.wait_for(lock, config::lost_run_check_interval, [this] { return this->stopping; });
        lock.unlock();
        this->check();
        lock.lock();
    }
}

void lost_run_monitor::check() {
    std::vector<unexplained_run> watched;
    {
        const std::lock_guard lock{this->mutex};
        watched.swap(this->runs);
    }
    // Without the lock: a probe of a host that does not respond takes `config::endpoint_probe_timeout`.
    std::erase_if(watched, [this](unexplained_run& each) { return this->explain(each); });
    const std::lock_guard lock{this->mutex};
    this->runs.insert(this->runs.begin(), std::make_move_iterator(watched.begin()),
                      std::make_move_iterator(watched.end()));
}

bool lost_run_monitor::explain(unexplained_run& watched) {
    const auto age = this->time.now() - watched.lost_at;
    const std::shared_ptr<const endpoint_list> current = this->state.current().endpoints;
    if (current && has_restarted(watched.endpoint, *current)) {
        this->record_crash(watched, "later_start");
        return true;
    }
    // An endpoint that is no longer registered, or leaves, may have ended as planned.
    const bool is_registered =
        current && std::any_of(current->endpoints.begin(), current->endpoints.end(), [&watched](const auto& record) {
            return record.instance == watched.endpoint.instance && !record.is_leaving;
        });
    if (is_registered && watched.probes < config::lost_run_probes.size() &&
        age >= config::lost_run_probes.at(watched.probes)) {
        ++watched.probes;
        if (this->prober.probe(watched.endpoint.address) == endpoint_condition::connection_refused) {
            this->record_crash(watched, "connection_refused");
            return true;
        }
    }
    if (age < config::lost_run_memory) {
        return false;
    }
    if (is_registered && watched.is_response) {
        this->crashes.record_response(watched.run.request, watched.lost_at);
    }
    return true;
}

void lost_run_monitor::record_crash(const unexplained_run& watched, const char* evidence) {
    this->metrics.get_counter("direct_late_crashes_total", "evidence=\"" + std::string{evidence} + "\"").add();
    this->log.warn("crash_found_late", {{"endpoint", watched.endpoint.instance}, {"evidence", evidence}});
    this->crashes.record_crash(hash64(watched.endpoint.instance, watched.endpoint.started_ms), watched.run,
                               watched.lost_at);
    this->peers.send_crash_evidence();
}

} // namespace pomelohoist
