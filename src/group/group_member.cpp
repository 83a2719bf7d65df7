#include "group/group_member.h"

#include <pomelohoist/config.h>

#include <memory>
#include <utility>

namespace pomelohoist {

group_member::group_member(const group_place& own_place, const group_settings& chosen, const member_parts& used_parts)
    : place(own_place), shape(chosen.shape), parts(used_parts), client(used_parts.platform),
      breaker(used_parts.context.time), table(this->client, this->breaker),
      record(this->table, own_place.group, chosen.shape),
      directory(used_parts.source, own_place.group, own_place.ranks),
      network(this->directory, own_place.rank, used_parts.calls),
      fetcher(own_place, used_parts.process_name, chosen.shape, this->directory, this->maps, this->record),
      reports(own_place, used_parts.process_name, this->directory),
      participant(own_place, used_parts.context.time, used_parts.gate, this->maps),
      recovery(own_place, this->participant, this->network, [this] { return this->read_cold_start(); }),
      // A restarted agent is another holder, as it knows nothing of the epochs of its earlier incarnation.
      group_lease(this->table, used_parts.context.time, own_place.group,
                  used_parts.process_name + "-" + std::to_string(own_place.incarnation)),
      switches(own_place, this->participant, this->network),
      coordinator(own_place,
                  {used_parts.context.time, this->group_lease, this->maps, this->record, this->client, this->reports,
                   this->participant, this->switches},
                  make_adaptive_balancer(chosen.shape, chosen.balance)) {
    this->maps.add(expert_map{chosen.shape});
    this->recovery_thread = std::thread{[this] { this->recovery_loop(); }};
    // A large group would read the lease row too often if all its agents were candidates.
    if (own_place.rank < config::coordinator_candidates) {
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
        this->parts.context.log.warn("cold_start_waits_for_store", {{"group", this->place.group}});
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
            this->parts.context.log.info("group_member_ready", {{"group", this->place.group}});
        }
        was_recovering = is_recovering;
        // A random pause lets one of several proposers finish before the next takes a higher ballot.
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
            this->log_turn(this->coordinator.run());
        }
    } while (this->wait_for(config::coordinator_interval));
    if (this->group_lease.held_epoch()) {
        this->group_lease.release();
    }
}

void group_member::log_turn(coordinator_turn turn) {
    metrics_registry& metrics = this->parts.context.metrics;
    if (turn == coordinator_turn::committed) {
        metrics.get_counter("group_switches_total", "outcome=\"committed\"").add();
        const std::optional<map_start> now = this->participant.in_force();
        this->parts.context.log.info("map_switched", {{"group", this->place.group},
                                                      {"map_version", std::to_string(now ? now->map.version : 0)},
                                                      {"from_step", std::to_string(now ? now->from_step : 0)}});
    } else if (turn == coordinator_turn::aborted) {
        metrics.get_counter("group_switches_total", "outcome=\"aborted\"").add();
        this->parts.context.log.info("map_switch_aborted",
                                     {{"group", this->place.group}, {"reason", this->coordinator.last_reason()}});
    }
}

rank_answer group_member::serve_step(const rank_call& call) {
    const std::optional<map_start>& running = call.request.running;
    if (call.request.step > 0 && running && call.time_ms > 0) {
        this->reports.add({call.request.step - 1, *running, call.time_ms, call.tokens});
    }
    this->participant.report(call.request);
    rank_answer answer;
    // After a restart of all agents the ranks alone may have the content of the map that they run.
    answer.needs_map = running && !this->maps.is_usable(running->map);
    answer.granted = call.is_ready ? this->participant.grant_step(call.request) : std::nullopt;
    if (answer.granted && answer.granted != running &&
        !this->fetcher.fetch(answer.granted->map, this->place.rank + 1)) {
        // A grant without the content is kept, and the rank gets it with a later question.
        answer.granted.reset();
    }
    return answer;
}

bool group_member::take_map(std::uint64_t version, const std::vector<std::uint32_t>& slots) {
    const result<expert_map> received = expert_map::make(this->shape, version, slots);
    if (!received) {
        return false;
    }
    this->maps.add(*received);
    return true;
}

std::vector<std::uint32_t> group_member::find_map(const map_id& wanted) {
    const map_ptr found = this->maps.find(wanted);
    return found ? std::vector<std::uint32_t>{found->slots().begin(), found->slots().end()}
                 : std::vector<std::uint32_t>{};
}

inner::switch_vote group_member::handle_prepare(const inner::switch_prepare& prepare) {
    // The content has to be here before the promise; without it the participant refuses.
    if (prepare.group == this->place.group && !this->participant.is_recovering()) {
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
    return {request.group == this->place.group ? this->find_map(request.map) : std::vector<std::uint32_t>{}};
}

inner::step_report group_member::handle_report(const inner::step_report_request& request) {
    return request.group == this->place.group ? this->reports.find(request.step) : inner::step_report{};
}

} // namespace pomelohoist
