#include "ranks/map_switcher.h"

#include "ranks/map_around.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelohoist {

namespace {

// Far more switches than a coordinator makes in one term, so the versions of two tokens never overlap.
constexpr std::uint64_t versions_per_token = 1U << 20U;

std::optional<held_step> find_hold(const std::vector<rank_state>& states) {
    for (const rank_state& state : states) {
        if (state.held_step) {
            return held_step{state.rank, *state.held_step};
        }
    }
    return std::nullopt;
}

std::optional<armed_switch> find_armed(const std::vector<rank_state>& states) {
    for (const rank_state& state : states) {
        if (state.armed) {
            return state.armed;
        }
    }
    return std::nullopt;
}

/// @returns true when a rank reports neither a prepared map nor a switched one, so that no switch can be in progress. A
/// coordinator holds a step only after all ranks have reported a prepared map. A rank keeps reporting this map until
/// the group forms anew or the copies of a later map begin, and a later map is prepared only when the group is past
/// every earlier target step.
bool has_unprepared_rank(const std::vector<rank_state>& states) {
    return std::any_of(states.begin(), states.end(),
                       [](const rank_state& state) { return state.map_version == 0 && state.prepared_version == 0; });
}

/// @returns largest number of steps by which any coordinator of the group schedules a switch ahead
std::uint64_t max_lead_for(std::uint32_t ranks) {
    return config::step_lead + ranks / config::ranks_armed_in_a_step;
}

std::uint64_t latest_step(const std::vector<rank_state>& states) {
    std::uint64_t step = 0;
    for (const rank_state& state : states) {
        step = std::max(step, state.step);
    }
    return step;
}

} // namespace

map_switcher::map_switcher(rank_group& controlled_group, std::uint32_t rank_of_holds, rank_sweep& sweeper,
                           pause_source& pauses, const clock& time_source, structured_log& process_log)
    : group(controlled_group), hold_rank(rank_of_holds), sweep(sweeper), pauser(pauses), time(time_source),
      log(process_log) {}

void map_switcher::take_over(std::uint64_t fencing_token) {
    this->token = fencing_token;
    this->is_target_unknown = true;
    this->ranks_have_token = false;
    this->is_fenced = false;
    this->last_version = fencing_token * versions_per_token;
    this->last_switched = 0;
}

bool map_switcher::send_token_to_all(std::uint64_t epoch) {
    // `go` for step 0, which is never held, changes only the rank's highest fencing token.
    const rank_command no_op_command = this->make_command(rank_command_kind::go, epoch, {0, 0});
    const std::vector<command_outcome> outcomes = this->send_to_all(no_op_command);
    return std::none_of(outcomes.begin(), outcomes.end(), [](command_outcome outcome) {
        return outcome == command_outcome::no_response || outcome == command_outcome::fenced;
    });
}

std::vector<command_outcome> map_switcher::send_to_all(const rank_command& command) {
    std::vector<command_outcome> outcomes(this->group.size(), command_outcome::no_response);
    this->sweep.for_each(this->group.size(), [this, &command, &outcomes](std::uint32_t rank) {
        for (std::uint32_t attempt = 0;
             outcomes[rank] == command_outcome::no_response && attempt < config::rank_command_attempts; ++attempt) {
            outcomes[rank] = this->send_to(rank, command);
        }
    });
    return outcomes;
}

std::optional<std::vector<rank_state>> map_switcher::read_states() {
    std::vector<result<rank_state>> read(this->group.size(), failure{error_kind::unreachable, "not read"});
    const steady_time started_at = this->time.now();
    this->sweep.for_each(this->group.size(),
                         [this, &read](std::uint32_t rank) { read[rank] = this->group.rank(rank).read_state(); });
    this->states_read_at = this->time.now();
    this->sweep_time = this->states_read_at - started_at;
    this->reachable.clear();
    for (const result<rank_state>& state : read) {
        if (state) {
            this->reachable.push_back(*state);
        }
    }
    std::vector<rank_state> states;
    for (std::uint32_t i = 0; i < this->group.size(); ++i) {
        const result<rank_state>& state = read[i];
        if (!state || !state->is_open || state->rank != i || state->ranks != this->group.size() ||
            (!states.empty() && states.front().epoch != state->epoch)) {
            this->log_unreadable(
                i, state ? "the group is not open, or the rank reports an unexpected rank, group size or epoch"
                         : state.last_error().reason);
            return std::nullopt;
        }
        states.push_back(*state);
    }
    this->logged_unreadable.clear();
    this->last_read_step = latest_step(states);
    if (!states.empty()) {
        this->record_epoch(states);
    }
    return states;
}

void map_switcher::log_unreadable(std::uint32_t rank, const std::string& reason) {
    std::string rank_and_reason = std::to_string(rank) + ": " + reason;
    if (this->logged_unreadable != rank_and_reason) {
        this->logged_unreadable = std::move(rank_and_reason);
        this->log.info("group_unreadable", {{"rank", std::to_string(rank)}, {"reason", reason}});
    }
}

std::optional<std::vector<rank_state>> map_switcher::read_states(std::uint64_t epoch) {
    std::optional<std::vector<rank_state>> states = this->read_states();
    return states && !states->empty() && states->front().epoch == epoch ? states : std::nullopt;
}

void map_switcher::record_epoch(const std::vector<rank_state>& states) {
    if (states.front().epoch != this->known_epoch) {
        this->known_epoch = states.front().epoch;
        this->is_target_unknown = true;
        this->last_switched = 0;
        this->ranks_have_token = false;
    }
    if (this->is_target_unknown) {
        // An earlier coordinator chose target steps at most max_lead_for() steps after the latest step of any rank.
        this->last_target_step = latest_step(states) + max_lead_for(this->group.size());
        this->is_target_unknown = false;
    }
}

bool map_switcher::is_past_target_steps(const std::vector<rank_state>& states) const {
    return latest_step(states) > this->last_target_step;
}

void map_switcher::record_target_step(std::uint64_t step) {
    this->last_target_step = std::max(this->last_target_step, step);
}

rank_command map_switcher::make_command(rank_command_kind kind, std::uint64_t epoch, const armed_switch& target) const {
    rank_command command;
    command.kind = kind;
    command.epoch = epoch;
    command.fence = this->token;
    command.version = target.version;
    command.step = target.step;
    return command;
}

command_outcome map_switcher::send_to(std::uint32_t rank, const rank_command& command) {
    const command_outcome outcome = this->group.rank(rank).send_command(command);
    if (outcome == command_outcome::fenced) {
        this->is_fenced = true;
        this->log.warn("rank_command_fenced", {{"rank", std::to_string(rank)}, {"fence", std::to_string(this->token)}});
    }
    return outcome;
}

bool map_switcher::recover(const std::vector<rank_state>& states) {
    const std::uint64_t epoch = states.front().epoch;
    if (this->ranks_have_token) {
        return this->recover_fenced(states);
    }
    this->ranks_have_token = this->send_token_to_all(epoch);
    if (!this->ranks_have_token) {
        return false;
    }
    // Read the states again: an earlier coordinator may have sent commands until the last rank received the token.
    const std::optional<std::vector<rank_state>> fresh_states = this->read_states(epoch);
    return fresh_states && this->ranks_have_token && this->recover_fenced(*fresh_states);
}

bool map_switcher::recover_fenced(const std::vector<rank_state>& states) {
    const std::optional<armed_switch> armed = find_armed(states);
    const auto held = find_hold(states);
    if (!armed && !held) {
        return has_unprepared_rank(states) || this->is_past_target_steps(states);
    }
    const bool all_armed =
        std::all_of(states.begin(), states.end(), [&armed](const rank_state& state) { return state.armed == armed; });
    if (armed && !held && all_armed) {
        return false; // the switch completes when the group reaches the step
    }
    const std::uint64_t epoch = states.front().epoch;
    const std::uint64_t prepared = states.front().prepared_version;
    const bool all_prepared = prepared != 0 && std::all_of(states.begin(), states.end(), [prepared](const auto& state) {
                                  return state.prepared_version == prepared;
                              });
    if (armed) {
        this->log.info("map_switch_resumed",
                       {{"version", std::to_string(armed->version)}, {"step", std::to_string(armed->step)}});
        // A hold at a step other than the armed one belongs to no switch, so it can also end once all ranks are armed.
        this->complete(epoch, *armed, held.value_or(held_step{this->hold_rank, armed->step}), false, this->time.now());
    } else if (all_prepared) {
        // A rank may still execute an earlier `arm` command, so the switch must complete before the hold ends.
        this->log.info("map_switch_resumed",
                       {{"version", std::to_string(prepared)}, {"step", std::to_string(held->step)}});
        this->complete(epoch, {prepared, held->step}, *held, true, this->time.now());
    } else {
        // A coordinator arms ranks only after all ranks are prepared, so no switch is armed at the held step.
        this->log.info("stray_hold_released", {{"step", std::to_string(held->step)}});
        this->release(epoch, *held);
    }
    return false;
}

map_switcher::outcome map_switcher::switch_to(const std::vector<rank_state>& states, const expert_shape& shape,
                                              const std::vector<std::uint32_t>& slots, switch_monitor& monitor) {
    const std::uint64_t epoch = states.front().epoch;
    rank_command command = this->make_command(rank_command_kind::prepare, epoch, {++this->last_version, 0});
    command.layers = shape.layers;
    command.ranks = shape.ranks;
    command.slots.assign(slots.begin(), slots.end());
    const std::uint64_t version = command.version;
    outcome phase_outcome = this->prepare_all(command);
    if (phase_outcome == outcome::switched) {
        phase_outcome = this->wait_prepared(epoch, version, monitor);
    }
    if (phase_outcome != outcome::switched) {
        this->log.info("map_switch_not_started", {{"version", std::to_string(version)}});
        return phase_outcome;
    }
    this->log.info("map_prepared", {{"version", std::to_string(version)}});
    const steady_time prepared_at = this->time.now();
    const std::optional<std::uint64_t> step = this->hold(epoch);
    if (!step) {
        this->log.info("map_switch_not_started",
                       {{"version", std::to_string(version)}, {"reason", "the rank reported no hold"}});
        return outcome::not_begun;
    }
    phase_outcome = this->complete(epoch, {version, *step}, {this->hold_rank, *step}, true, prepared_at);
    if (phase_outcome == outcome::switched) {
        this->last_switched = version;
    }
    return phase_outcome;
}

map_switcher::outcome map_switcher::prepare_all(const rank_command& command) {
    outcome combined = outcome::switched;
    for (const command_outcome rank_outcome : this->send_to_all(command)) {
        if (rank_outcome == command_outcome::fenced) {
            return outcome::fenced;
        }
        combined = rank_outcome == command_outcome::refused ? outcome::not_begun : combined;
    }
    return combined;
}

map_switcher::outcome map_switcher::wait_prepared(std::uint64_t epoch, std::uint64_t version, switch_monitor& monitor) {
    // Not std::vector<bool>: its elements share bytes, and several threads write them.
    std::vector<std::uint8_t> is_prepared(this->group.size(), 0);
    const steady_time deadline = this->time.now() + config::prepare_timeout;
    while (this->time.now() < deadline) {
        if (!this->pauser.pause(config::prepare_check_ms)) {
            return outcome::interrupted;
        }
        std::atomic<bool> has_new_epoch{false};
        this->sweep.for_each(this->group.size(), [this, epoch, version, &is_prepared, &has_new_epoch](auto rank) {
            if (is_prepared[rank] != 0) {
                return; // a rank keeps its prepared map until the group forms anew
            }
            const result<rank_state> state = this->group.rank(rank).read_state();
            has_new_epoch = has_new_epoch || (state && state->epoch != epoch);
            is_prepared[rank] = state && state->is_open && state->prepared_version == version ? 1 : 0;
        });
        if (has_new_epoch) {
            return outcome::not_begun;
        }
        if (std::count(is_prepared.begin(), is_prepared.end(), 0) == 0) {
            return outcome::switched;
        }
        if (!monitor.is_still_wanted()) {
            return outcome::not_begun;
        }
    }
    return outcome::not_begun;
}

switch_pace map_switcher::pace_at(std::uint64_t step) const {
    // Until an arming was measured: a command to all ranks, a read of all, and calls to the rank of the hold.
    constexpr double sweeps_to_arm = 3.0;
    // Steps take longer from the moment at which the load changes, so earlier steps are not counted.
    return {this->arming_time.value_or(sweeps_to_arm * this->sweep_time), this->time.now() - this->states_read_at,
            step - std::min(step, this->last_read_step)};
}

std::optional<std::uint64_t> map_switcher::hold(std::uint64_t epoch) {
    for (std::uint32_t attempt = 0; attempt < config::rank_command_attempts; ++attempt) {
        const result<rank_state> before = this->group.rank(this->hold_rank).read_state();
        if (!before || before->epoch != epoch) {
            return std::nullopt;
        }
        // A hold is refused when its step has begun, as after a report that is some steps old.
        const std::uint64_t limit = max_lead_for(this->group.size());
        const std::uint64_t step =
            before->step + std::min(choose_lead(this->pace_at(before->step), limit) + attempt, limit);
        this->record_target_step(step);
        const command_outcome hold_outcome =
            this->send_to(this->hold_rank, this->make_command(rank_command_kind::hold, epoch, {0, step}));
        if (hold_outcome == command_outcome::fenced) {
            return std::nullopt;
        }
        const result<rank_state> after = this->group.rank(this->hold_rank).read_state();
        if (after && after->epoch == epoch && after->held_step == step) {
            return step;
        }
        // A hold command without a response may be executed later; `recover` then ends that hold.
    }
    return std::nullopt;
}

map_switcher::outcome map_switcher::complete(std::uint64_t epoch, const armed_switch& target, const held_step& hold,
                                             bool may_abandon, steady_time started_at) {
    this->record_target_step(target.step);
    const rank_command arm = this->make_command(rank_command_kind::arm, epoch, target);
    outcome arming = this->arm_ranks(arm, {hold.rank}, may_abandon);
    if (arming == outcome::not_begun) {
        this->log.info("map_switch_not_started",
                       {{"version", std::to_string(target.version)}, {"reason", "the map was discarded"}});
        const outcome released = this->release(epoch, hold);
        return released == outcome::switched ? outcome::not_begun : released;
    }
    if (arming == outcome::switched) {
        std::vector<std::uint32_t> others;
        for (std::uint32_t rank = 0; rank < this->group.size(); ++rank) {
            if (rank != hold.rank) {
                others.push_back(rank);
            }
        }
        arming = this->arm_ranks(arm, std::move(others), false);
    }
    if (arming != outcome::switched) {
        return arming;
    }
    this->arming_time = this->time.now() - started_at;
    this->log.info("map_armed", {{"version", std::to_string(target.version)},
                                 {"step", std::to_string(target.step)},
                                 {"arming_ms", std::to_string(std::lround(this->arming_time->count()))}});
    return this->release(epoch, hold);
}

map_switcher::outcome map_switcher::arm_ranks(const rank_command& arm, std::vector<std::uint32_t> ranks,
                                              bool may_abandon) {
    const armed_switch target{arm.version, arm.step};
    while (!ranks.empty()) {
        const auto count = static_cast<std::uint32_t>(ranks.size());
        std::vector<command_outcome> responses(count, command_outcome::no_response);
        this->sweep.for_each(
            count, [this, &arm, &ranks, &responses](std::uint32_t i) { responses[i] = this->send_to(ranks[i], arm); });
        if (this->is_fenced) {
            return outcome::fenced;
        }
        // The state of each rank is read after the last arm command has been sent: only this state, not the response to
        // the command, shows that a rank is armed.
        std::vector<std::uint8_t> is_armed(count, 0); // not std::vector<bool>: several threads write the elements
        std::atomic<bool> has_new_epoch{false};
        std::atomic<bool> is_discarded{false};
        this->sweep.for_each(count, [&](std::uint32_t i) {
            const result<rank_state> state = this->group.rank(ranks[i]).read_state();
            if (!state) {
                return;
            }
            has_new_epoch = has_new_epoch || state->epoch != arm.epoch;
            const bool has_switched = state->map_version == target.version;
            is_armed[i] = state->is_open && (state->armed == target || has_switched) ? 1 : 0;
            // A rank never prepares a version again, so it refuses also commands that are executed late. The report
            // alone may be older than the preparation.
            is_discarded = is_discarded || (is_armed[i] == 0 && responses[i] == command_outcome::refused &&
                                            state->prepared_version != target.version);
        });
        if (has_new_epoch) {
            return outcome::interrupted;
        }
        if (may_abandon && is_discarded) {
            return outcome::not_begun;
        }
        std::vector<std::uint32_t> pending;
        for (std::uint32_t i = 0; i < count; ++i) {
            if (is_armed[i] == 0) {
                pending.push_back(ranks[i]);
            }
        }
        ranks = std::move(pending);
        if (!ranks.empty() && !this->pauser.pause(config::arm_retry_ms)) {
            return outcome::interrupted;
        }
    }
    return outcome::switched;
}

void map_switcher::release_unarmed_hold(const expert_shape& shape) {
    const bool is_any_armed = std::any_of(this->reachable.begin(), this->reachable.end(),
                                          [](const rank_state& state) { return state.armed.has_value(); });
    const auto held = std::find_if(this->reachable.begin(), this->reachable.end(), [](const rank_state& state) {
        return state.is_open && state.held_step.has_value();
    });
    if (is_any_armed || held == this->reachable.end()) {
        return;
    }
    const held_step hold{held->rank, *held->held_step};
    if (this->discard_prepared(*held, shape)) {
        this->log.info("unarmed_hold_released",
                       {{"rank", std::to_string(hold.rank)}, {"step", std::to_string(hold.step)}});
        this->release(held->epoch, hold);
    }
}

bool map_switcher::discard_prepared(const rank_state& before, const expert_shape& shape) {
    if (before.rank >= this->group.size() || shape.ranks != this->group.size()) {
        return false;
    }
    const result<rank_experts> experts = this->group.rank(before.rank).read_experts();
    const auto slots = experts ? map_around(shape, before.rank, *experts) : std::nullopt;
    if (!slots) {
        return false;
    }
    rank_command command = this->make_command(rank_command_kind::prepare, before.epoch, {++this->last_version, 0});
    command.layers = shape.layers;
    command.ranks = shape.ranks;
    command.slots = *slots;
    const steady_time deadline = this->time.now() + config::prepare_timeout;
    command_outcome sent = command_outcome::no_response;
    while (this->time.now() < deadline) {
        if (sent == command_outcome::no_response) {
            sent = this->send_to(before.rank, command);
        }
        if (sent == command_outcome::fenced || sent == command_outcome::refused) {
            return false; // the rank refuses the command while it is armed
        }
        const result<rank_state> after = this->group.rank(before.rank).read_state();
        if (after && (after->epoch != before.epoch || after->armed || after->held_step != before.held_step)) {
            return false;
        }
        if (after && after->prepared_version == command.version) {
            return true;
        }
        if (!this->pauser.pause(config::arm_retry_ms)) {
            return false;
        }
    }
    return false;
}

map_switcher::outcome map_switcher::release(std::uint64_t epoch, const held_step& hold) {
    this->record_target_step(hold.step);
    const rank_command go = this->make_command(rank_command_kind::go, epoch, {0, hold.step});
    while (true) {
        if (this->send_to(hold.rank, go) == command_outcome::fenced) {
            return outcome::fenced;
        }
        const result<rank_state> state = this->group.rank(hold.rank).read_state();
        if (state && state->epoch != epoch) {
            return outcome::interrupted;
        }
        if (state && state->held_step != hold.step) {
            return outcome::switched;
        }
        if (!this->pauser.pause(config::arm_retry_ms)) {
            return outcome::interrupted;
        }
    }
}

} // namespace pomelohoist
