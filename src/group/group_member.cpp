#include "group/group_member.h"

#include <pomelohoist/config.h>

#include <memory>
#include <utility>

namespace pomelohoist {

group_member::group_member(const group_position& own_position, const group_settings& options,
                           const member_parts& used_parts)
    : position(own_position), shape(options.shape), parts(used_parts),
      client(used_parts.platform, used_parts.context.time), breaker(used_parts.context.time),
      table(this->client, this->breaker), record(this->table, own_position.group, options.shape),
      directory(used_parts.source, own_position.group, own_position.ranks),
      network(this->directory, own_position.rank, used_parts.calls),
      fetcher(own_position, used_parts.process_name, options.shape, this->directory, this->maps, this->record),
      reports(own_position, used_parts.process_name, this->directory),
      participant(own_position, used_parts.context.time, used_parts.gate, this->maps),
      recovery(own_position, this->participant, this->network, [this] { return this->read_cold_start(); }),
      // A restarted agent is a different lease holder, because it has lost the epochs of its earlier incarnation.
      group_lease(this->table, used_parts.context.time, used_parts.gate, own_position.group,
                  used_parts.process_name + "-" + std::to_string(own_position.incarnation)),
      switches(own_position, this->participant, this->network),
      coordinator(own_position,
                  {used_parts.context.time, this->group_lease, this->maps, this->record, this->client, this->reports,
                   this->participant, this->switches},
                  make_adaptive_balancer(options.shape, options.balance)) {
    this->maps.add(expert_map{options.shape});
    this->recovery_thread = std::thread{[this] { this->recovery_loop(); }};
    // Limits the number of lease candidates: all agents of a large group together would read the lease row too often.
    if (own_position.rank < config::coordinator_candidates) {
        this->coordinator_thread = std::thread{[this] { this->coordinator_loop(); }};
    }
}

group_member::~group_member() {
    {
        const std::lock_guard lock{this->mutex};
        this->stopping = true;
    }
    this->stopped.notify_all();
    this->recovery_thread.join();
    if (this->coordinator_thread.joinable()) {
        this->coordinator_thread.join();
    }
}

bool group_member::wait_for(std::chrono::milliseconds time) {
    std::unique_lock lock{this->mutex};
    return !this->stopped.wait_for(lock, time, [this] { return this->stopping; });
}

std::optional<map_start> group_member::read_cold_start() {
    const result<expert_map> stored = this->record.read();
    if (!stored) {
        this->parts.context.log.warn("cold_start_waits_for_store", {{"group", this->position.group}});
        return std::nullopt;
    }
    return map_start{this->maps.add(*stored), 0};
}

void group_member::recovery_loop() {
    bool was_recovering = true;
    while (true) {
        const bool failed = this->recovery.run();
        const bool is_recovering = this->participant.is_recovering();
        if (was_recovering && !is_recovering) {
            this->parts.context.log.info("group_member_ready", {{"group", this->position.group}});
        }
        was_recovering = is_recovering;
        // A random pause lets one of several proposers finish before another one proposes a higher ballot.
        const auto limit = static_cast<std::size_t>(config::recovery_backoff.count());
        const std::chrono::milliseconds backoff{failed ? this->parts.context.random.next_below(limit) : 0};
        if (!this->wait_for(config::recovery_interval + backoff)) {
            return;
        }
    }
}

void group_member::coordinator_loop() {
    const clock& time = this->parts.context.time;
    steady_time next_renewal = time.now();
    do {
        if (time.now() >= next_renewal) {
            next_renewal = time.now() + config::lease_renewal_interval;
            this->group_lease.try_hold();
        }
        if (this->group_lease.held_epoch()) {
            this->log_outcome(this->coordinator.run());
        }
    } while (this->wait_for(config::coordinator_interval));
    if (this->group_lease.held_epoch()) {
        this->group_lease.release();
    }
}

void group_member::log_outcome(coordinator_outcome outcome) {
    metrics_registry& metrics = this->parts.context.metrics;
    if (outcome == coordinator_outcome::committed) {
        metrics.get_counter("group_switches_total", "outcome=\"committed\"").add();
        const std::optional<map_start> in_force = this->participant.in_force();
        this->parts.context.log.info("map_switched",
                                     {{"group", this->position.group},
                                      {"map_version", std::to_string(in_force ? in_force->map.version : 0)},
                                      {"from_step", std::to_string(in_force ? in_force->from_step : 0)}});
    } else if (outcome == coordinator_outcome::aborted) {
        metrics.get_counter("group_switches_total", "outcome=\"aborted\"").add();
        this->parts.context.log.info("map_switch_aborted",
                                     {{"group", this->position.group}, {"reason", this->coordinator.last_reason()}});
    }
}

step_response group_member::serve_step(const step_call& call) {
    const std::optional<map_start>& running = call.request.running;
    if (call.request.step > 0 && running && call.time_ms > 0) {
        this->reports.add({call.request.step - 1, *running, call.time_ms, call.tokens});
    }
    this->participant.report(call.request);
    step_response response;
    // After a restart of all agents, possibly only the ranks have the content of the map that they run.
    response.needs_map = running && !this->maps.is_usable(running->map);
    response.granted = call.is_ready ? this->participant.grant_step(call.request) : std::nullopt;
    if (response.granted && response.granted != running &&
        !this->fetcher.fetch(response.granted->map, this->position.rank + 1)) {
        // The participant keeps the grant. The rank receives the grant with a later request, when the agent has the
        // content of the map.
        response.granted.reset();
    }
    return response;
}

bool group_member::add_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) {
    const result<expert_map> received = expert_map::make(this->shape, version, slots);
    if (!received) {
        return false;
    }
    this->maps.add(*received);
    return true;
}

std::vector<std::uint32_t> group_member::find_map(const map_id& id) {
    const map_ptr map = this->maps.find(id);
    return map ? std::vector<std::uint32_t>{map->slots().begin(), map->slots().end()} : std::vector<std::uint32_t>{};
}

inner::switch_vote group_member::handle_prepare(const inner::switch_prepare& prepare) {
    // The agent needs the content of the map before it promises a switch; the participant refuses the switch otherwise.
    if (prepare.group == this->position.group && !this->participant.is_recovering()) {
        this->fetcher.fetch(prepare.next.map, prepare.ballot.rank);
    }
    return this->participant.handle_prepare(prepare);
}

inner::switch_state group_member::handle_query(const inner::switch_query& query) {
    return this->participant.handle_query(query);
}

inner::switch_state group_member::handle_decision(const inner::switch_decision& decision) {
    return this->participant.handle_decision(decision);
}

inner::map_response group_member::handle_map(const inner::map_request& request) {
    return {request.group == this->position.group ? this->find_map(request.map) : std::vector<std::uint32_t>{}};
}

inner::step_report group_member::handle_report(const inner::step_report_request& request) {
    return request.group == this->position.group ? this->reports.find(request.step) : inner::step_report{};
}

} // namespace pomelohoist
