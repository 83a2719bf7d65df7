#include "agent/crash_monitor.h"

#include <pomelohoist/config.h>

#include <chrono>
#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

// The kernel closes the sockets of a dying process one after the other, so a run can break a moment before the
// listening socket is closed. A second look tells a death from a single broken connection.
constexpr std::chrono::milliseconds second_look_delay{20};
constexpr int max_looks = 2;
// One lost health check under load does not take an endpoint out of service.
constexpr std::uint32_t failed_checks_until_not_ready = 2;

} // namespace

crash_monitor::crash_monitor(endpoint_driver& endpoint, suspect_list& own_suspects, suspect_publisher& others,
                             std::string event_prefix, structured_log& log_target)
    : driver(endpoint), suspects(own_suspects), publisher(others), prefix(std::move(event_prefix)), log(log_target) {}

void crash_monitor::begin_run(const ticket& id, const std::string& digest) {
    const std::lock_guard lock{this->mutex};
    this->flights[id] = {digest, this->generation};
}

void crash_monitor::end_run(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    this->flights.erase(id);
}

bool crash_monitor::run_broken(const ticket& id, bool was_aborted) {
    const std::lock_guard examining{this->examination};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->flights.find(id);
        if (found == this->flights.end()) {
            return false;
        }
        if (found->second.generation < this->generation) {
            return true;
        }
    }
    return this->is_dead_now(was_aborted ? 1 : max_looks);
}

bool crash_monitor::is_dead_now(int looks) {
    for (int look = 0; look < looks; ++look) {
        if (look > 0) {
            std::this_thread::sleep_for(second_look_delay);
        }
        const result<endpoint_health> health = this->driver.check_health();
        if (!health || health->boot_id != this->boot_id) {
            this->handle_death(health ? health->boot_id : "");
            this->ready = health.has_value();
            return true;
        }
    }
    return false;
}

void crash_monitor::check() {
    const std::lock_guard examining{this->examination};
    const result<endpoint_health> health = this->driver.check_health();
    if (!health) {
        ++this->failed_checks;
        if (this->failed_checks >= failed_checks_until_not_ready && this->ready.exchange(false)) {
            this->log.warn("endpoint_not_ready", {{"reason", health.last_error().reason}});
        }
        return;
    }
    this->failed_checks = 0;
    if (health->boot_id != this->boot_id) {
        // An empty id stands before the first check and after a death that was published already.
        if (!this->boot_id.empty()) {
            this->handle_death(health->boot_id);
        }
        this->boot_id = health->boot_id;
    }
    if (!this->ready.exchange(true)) {
        this->log.info("endpoint_ready", {{"boot_id", this->boot_id}});
    }
}

void crash_monitor::handle_death(const std::string& next_boot_id) {
    this->ready = false;
    this->boot_id = next_boot_id;
    std::uint64_t dead_generation = 0;
    {
        const std::lock_guard lock{this->mutex};
        dead_generation = this->generation;
    }
    const inner::suspect_report report{this->prefix + "-" + std::to_string(dead_generation), false,
                                       this->end_generation()};
    this->log.warn("endpoint_died", {{"event_id", report.event_id}, {"in_flight", std::to_string(report.runs.size())}});
    if (report.runs.empty()) {
        return;
    }
    this->suspects.record(report);
    this->publisher.publish(report);
}

std::vector<inner::suspected_run> crash_monitor::end_generation() {
    const std::lock_guard lock{this->mutex};
    std::vector<inner::suspected_run> runs;
    for (const auto& [id, run] : this->flights) {
        if (run.generation == this->generation) {
            runs.push_back({run.digest, id});
        }
    }
    ++this->generation;
    return runs;
}

} // namespace pomelohoist
