#include "agent/crash_monitor.h"

#include <pomelohoist/config.h>

#include <chrono>
#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

// The kernel closes the sockets of an exiting process one after the other, so a run can break shortly before the
// listening socket is closed. A second health check distinguishes a crash from a single broken connection.
constexpr std::chrono::milliseconds recheck_delay{20};
constexpr int max_crash_checks = 2;
// A single failed health check under load must not take the endpoint out of service.
constexpr std::uint32_t failed_checks_until_not_ready = 2;

} // namespace

crash_monitor::crash_monitor(endpoint_driver& endpoint, suspect_list& own_suspects, suspect_publisher& peer_publisher,
                             std::string event_prefix, structured_log& log_target)
    : driver(endpoint), suspects(own_suspects), publisher(peer_publisher), prefix(std::move(event_prefix)),
      log(log_target) {}

void crash_monitor::begin_run(const ticket& id, const std::string& digest) {
    const std::lock_guard lock{this->mutex};
    this->runs_in_flight[id] = {digest, this->generation};
}

void crash_monitor::end_run(const ticket& id) {
    const std::lock_guard lock{this->mutex};
    this->runs_in_flight.erase(id);
}

bool crash_monitor::on_run_broken(const ticket& id, bool was_aborted) {
    const std::lock_guard check_lock{this->crash_check_mutex};
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->runs_in_flight.find(id);
        if (found == this->runs_in_flight.end()) {
            return false;
        }
        if (found->second.generation < this->generation) {
            return true;
        }
    }
    return this->detect_crash(was_aborted ? 1 : max_crash_checks);
}

bool crash_monitor::detect_crash(int max_checks) {
    for (int attempt = 0; attempt < max_checks; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(recheck_delay);
        }
        const result<endpoint_health> health = this->driver.check_health();
        if (!health || health->boot_id != this->boot_id) {
            this->handle_crash(health ? health->boot_id : "");
            this->ready = health.has_value();
            return true;
        }
    }
    return false;
}

void crash_monitor::check() {
    const std::lock_guard check_lock{this->crash_check_mutex};
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
        // The boot id is empty before the first check and after a crash that has already been published.
        if (!this->boot_id.empty()) {
            this->handle_crash(health->boot_id);
        }
        this->boot_id = health->boot_id;
    }
    if (!this->ready.exchange(true)) {
        this->log.info("endpoint_ready", {{"boot_id", this->boot_id}});
    }
}

void crash_monitor::handle_crash(const std::string& next_boot_id) {
    this->ready = false;
    this->boot_id = next_boot_id;
    std::uint64_t crashed_generation = 0;
    {
        const std::lock_guard lock{this->mutex};
        crashed_generation = this->generation;
    }
    const inner::suspect_report report{this->prefix + "-" + std::to_string(crashed_generation), false,
                                       this->end_generation()};
    this->log.warn("endpoint_crashed",
                   {{"event_id", report.event_id}, {"in_flight", std::to_string(report.runs.size())}});
    if (report.runs.empty()) {
        return;
    }
    this->suspects.record(report);
    this->publisher.publish(report);
}

std::vector<inner::suspected_run> crash_monitor::end_generation() {
    const std::lock_guard lock{this->mutex};
    std::vector<inner::suspected_run> runs;
    for (const auto& [id, run] : this->runs_in_flight) {
        if (run.generation == this->generation) {
            runs.push_back({run.digest, id});
        }
    }
    ++this->generation;
    return runs;
}

} // namespace pomelohoist
