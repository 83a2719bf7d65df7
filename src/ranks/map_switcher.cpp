#include "ranks/map_switcher.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

// Far more switches than one coordinator makes in its life.
constexpr std::uint64_t versions_for_each_token = 1U << 20U;

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

/// @returns true when no switch can be under way: a coordinator holds a step only after it has seen a map prepared on
/// all ranks. A rank shows that until the group forms anew, or until the copies of a later map begin, which is prepared
/// only when the group is past every step that was named before.
bool is_untouched(const std::vector<rank_state>& states) {
    return std::any_of(states.begin(), states.end(),
                       [](const rank_state& state) { return state.map_version == 0 && state.prepared_version == 0; });
}

/// @returns how far ahead of the present step a switch is named; no coordinator of the group names one further ahead
std::uint64_t lead_of(std::uint32_t ranks) {
    return config::step_lead + ranks / config::ranks_armed_in_a_step;
}

std::uint64_t last_step(const std::vector<rank_state>& states) {
    std::uint64_t step = 0;
    for (const rank_state& state : states) {
        step = std::max(step, state.step);
    }
    return step;
}

} // namespace

map_switcher::map_switcher(rank_group& controlled, rank_sweep& calls, pause_source& waits, structured_log& process_log)
    : group(controlled), sweep(calls), waiter(waits), log(process_log) {}

void map_switcher::take_over(std::uint64_t fencing_token) {
    this->token = fencing_token;
    this->must_learn_steps = true;
    this->has_fenced = false;
    this->is_fenced_off = false;
    this->next_version = fencing_token * versions_for_each_token;
    this->last_switched = 0;
}

bool map_switcher::fence_all(std::uint64_t epoch) {
    // Ends a hold of a step that never comes, so it changes nothing.
    const rank_command harmless = this->order_of(rank_command_kind::go, epoch, {0, 0});
    const std::vector<command_outcome> shown = this->give_all(harmless);
    return std::none_of(shown.begin(), shown.end(), [](command_outcome outcome) {
        return outcome == command_outcome::no_response || outcome == command_outcome::fenced;
    });
}

std::vector<command_outcome> map_switcher::give_all(const rank_command& order) {
    std::vector<command_outcome> outcomes(this->group.size(), command_outcome::no_response);
    this->sweep.for_each(this->group.size(), [this, &order, &outcomes](std::uint32_t rank) {
        for (std::uint32_t attempt = 0;
             outcomes[rank] == command_outcome::no_response && attempt < config::rank_command_attempts; ++attempt) {
            outcomes[rank] = this->send_to(rank, order);
        }
    });
    return outcomes;
}

std::optional<std::vector<rank_state>> map_switcher::read_states() {
    std::vector<result<rank_state>> read(this->group.size(), failure{error_kind::unreachable, "not read"});
    this->sweep.for_each(this->group.size(),
                         [this, &read](std::uint32_t rank) { read[rank] = this->group.rank(rank).read_state(); });
    std::vector<rank_state> states;
    for (std::uint32_t i = 0; i < this->group.size(); ++i) {
        const result<rank_state>& state = read[i];
        if (!state || !state->is_open || state->rank != i || state->ranks != this->group.size() ||
            (!states.empty() && states.front().epoch != state->epoch)) {
            this->note_unreadable(i, state ? "another state or epoch" : state.last_error().reason);
            return std::nullopt;
        }
        states.push_back(*state);
    }
    this->unreadable.clear();
    if (!states.empty()) {
        this->note_epoch(states);
    }
    return states;
}

void map_switcher::note_unreadable(std::uint32_t rank, const std::string& reason) {
    std::string seen = std::to_string(rank) + ": " + reason;
    if (this->unreadable != seen) {
        this->unreadable = std::move(seen);
        this->log.info("group_unreadable", {{"rank", std::to_string(rank)}, {"reason", reason}});
    }
}

std::optional<std::vector<rank_state>> map_switcher::read_states(std::uint64_t epoch) {
    std::optional<std::vector<rank_state>> states = this->read_states();
    return states && !states->empty() && states->front().epoch == epoch ? states : std::nullopt;
}

void map_switcher::note_epoch(const std::vector<rank_state>& states) {
    if (states.front().epoch != this->seen_epoch) {
        this->seen_epoch = states.front().epoch;
        this->must_learn_steps = true;
        this->last_switched = 0;
        this->has_fenced = false;
    }
    if (this->must_learn_steps) {
        // An earlier coordinator names steps at most this far ahead.
        this->named_until = last_step(states) + lead_of(this->group.size());
        this->must_learn_steps = false;
    }
}

bool map_switcher::is_past_named_steps(const std::vector<rank_state>& states) const {
    return last_step(states) > this->named_until;
}

void map_switcher::name_step(std::uint64_t step) {
    this->named_until = std::max(this->named_until, step);
}

rank_command map_switcher::order_of(rank_command_kind kind, std::uint64_t epoch, const armed_switch& wanted) const {
    rank_command order;
    order.kind = kind;
    order.epoch = epoch;
    order.fence = this->token;
    order.version = wanted.version;
    order.step = wanted.step;
    return order;
}

command_outcome map_switcher::send_to(std::uint32_t rank, const rank_command& order) {
    const command_outcome outcome = this->group.rank(rank).send_command(order);
    if (outcome == command_outcome::fenced) {
        this->is_fenced_off = true;
        this->log.warn("rank_order_fenced", {{"rank", std::to_string(rank)}, {"fence", std::to_string(this->token)}});
    }
    return outcome;
}

bool map_switcher::settle(const std::vector<rank_state>& seen) {
    const std::uint64_t epoch = seen.front().epoch;
    if (this->has_fenced) {
        return this->settle_fenced(seen);
    }
    this->has_fenced = this->fence_all(epoch);
    if (!this->has_fenced) {
        return false;
    }
    // Read again: an earlier coordinator may have given orders until the last rank had seen the token.
    const std::optional<std::vector<rank_state>> fresh = this->read_states(epoch);
    return fresh && this->has_fenced && this->settle_fenced(*fresh);
}

bool map_switcher::settle_fenced(const std::vector<rank_state>& states) {
    const std::optional<armed_switch> armed = find_armed(states);
    const auto held = find_hold(states);
    if (!armed && !held) {
        return is_untouched(states) || this->is_past_named_steps(states);
    }
    const bool all_armed =
        std::all_of(states.begin(), states.end(), [&armed](const rank_state& state) { return state.armed == armed; });
    if (armed && !held && all_armed) {
        return false; // only the step is still to come
    }
    const std::uint64_t epoch = states.front().epoch;
    const std::uint64_t prepared = states.front().prepared_version;
    const bool all_prepared = prepared != 0 && std::all_of(states.begin(), states.end(), [prepared](const auto& state) {
                                  return state.prepared_version == prepared;
                              });
    if (armed) {
        this->log.info("map_switch_resumed",
                       {{"version", std::to_string(armed->version)}, {"step", std::to_string(armed->step)}});
        // A hold at another step is a stray one; it may end as soon as all ranks are armed, too.
        this->complete(epoch, *armed, held.value_or(held_step{0, armed->step}));
    } else if (all_prepared) {
        // Some rank may have got an order to arm that is not carried out yet, so the hold must not end without it.
        this->log.info("map_switch_resumed",
                       {{"version", std::to_string(prepared)}, {"step", std::to_string(held->step)}});
        this->complete(epoch, {prepared, held->step}, *held);
    } else {
        // Ranks are armed only after all were prepared, so nobody has ordered a switch at this step.
        this->log.info("stray_hold_released", {{"step", std::to_string(held->step)}});
        this->release(epoch, *held);
    }
    return false;
}

map_switcher::outcome map_switcher::switch_to(const std::vector<rank_state>& states, const expert_shape& shape,
                                              const std::vector<std::uint32_t>& slots) {
    const std::uint64_t epoch = states.front().epoch;
    rank_command order = this->order_of(rank_command_kind::prepare, epoch, {++this->next_version, 0});
    order.layers = shape.layers;
    order.ranks = shape.ranks;
    order.slots.assign(slots.begin(), slots.end());
    const std::uint64_t version = order.version;
    outcome state = this->prepare_all(order);
    if (state == outcome::switched) {
        state = this->wait_prepared(epoch, version);
    }
    if (state != outcome::switched) {
        this->log.info("map_switch_not_begun", {{"version", std::to_string(version)}});
        return state;
    }
    const std::optional<std::uint64_t> step = this->hold(epoch);
    if (!step) {
        this->log.info("map_switch_not_begun", {{"version", std::to_string(version)}, {"reason", "no step was held"}});
        return outcome::not_begun;
    }
    state = this->complete(epoch, {version, *step}, {0, *step});
    if (state == outcome::switched) {
        this->last_switched = version;
    }
    return state;
}

map_switcher::outcome map_switcher::prepare_all(const rank_command& order) {
    outcome all = outcome::switched;
    for (const command_outcome given : this->give_all(order)) {
        if (given == command_outcome::fenced) {
            return outcome::fenced;
        }
        all = given == command_outcome::refused ? outcome::not_begun : all;
    }
    return all;
}

map_switcher::outcome map_switcher::wait_prepared(std::uint64_t epoch, std::uint64_t version) {
    for (std::uint32_t i = 0; i < config::prepare_checks; ++i) {
        if (!this->waiter.pause(config::prepare_check_ms)) {
            return outcome::lost;
        }
        const auto states = this->read_states(epoch);
        if (states && std::all_of(states->begin(), states->end(),
                                  [version](const rank_state& state) { return state.prepared_version == version; })) {
            return outcome::switched;
        }
    }
    return outcome::not_begun;
}

std::optional<std::uint64_t> map_switcher::hold(std::uint64_t epoch) {
    for (std::uint32_t attempt = 0; attempt < config::rank_command_attempts; ++attempt) {
        const result<rank_state> before = this->group.rank(0).read_state();
        if (!before || before->epoch != epoch) {
            return std::nullopt;
        }
        const std::uint64_t step = before->step + lead_of(this->group.size());
        this->name_step(step);
        const command_outcome given = this->send_to(0, this->order_of(rank_command_kind::hold, epoch, {0, step}));
        if (given == command_outcome::fenced) {
            return std::nullopt;
        }
        const result<rank_state> after = this->group.rank(0).read_state();
        if (after && after->epoch == epoch && after->held_step == step) {
            return step;
        }
        // Without an answer the hold may come later; it ends as a stray one then.
    }
    return std::nullopt;
}

map_switcher::outcome map_switcher::complete(std::uint64_t epoch, const armed_switch& wanted, const held_step& hold) {
    this->name_step(wanted.step);
    const rank_command arm = this->order_of(rank_command_kind::arm, epoch, wanted);
    // No vector of bool: its elements share bytes, and several threads write them.
    std::vector<std::uint8_t> is_armed(this->group.size(), 0);
    std::atomic<bool> is_lost{false};
    while (std::count(is_armed.begin(), is_armed.end(), 0) > 0) {
        this->sweep.for_each(this->group.size(), [this, &arm, &is_armed](std::uint32_t rank) {
            if (is_armed[rank] == 0) {
                this->send_to(rank, arm);
            }
        });
        if (this->is_fenced_off) {
            return outcome::fenced;
        }
        // Read after the last order: a rank counts as armed by its own report only.
        this->sweep.for_each(this->group.size(), [this, epoch, &wanted, &is_armed, &is_lost](std::uint32_t rank) {
            const result<rank_state> state = this->group.rank(rank).read_state();
            is_lost = is_lost || (state && state->epoch != epoch);
            const bool has_switched = state && state->map_version == wanted.version;
            is_armed[rank] = state && state->is_open && (state->armed == wanted || has_switched) ? 1 : 0;
        });
        if (is_lost) {
            return outcome::lost;
        }
        const bool all_armed = std::count(is_armed.begin(), is_armed.end(), 0) == 0;
        if (!all_armed && !this->waiter.pause(config::arm_retry_ms)) {
            return outcome::lost;
        }
    }
    this->log.info("map_armed", {{"version", std::to_string(wanted.version)}, {"step", std::to_string(wanted.step)}});
    return this->release(epoch, hold);
}

map_switcher::outcome map_switcher::release(std::uint64_t epoch, const held_step& hold) {
    this->name_step(hold.step);
    const rank_command go = this->order_of(rank_command_kind::go, epoch, {0, hold.step});
    while (true) {
        if (this->send_to(hold.rank, go) == command_outcome::fenced) {
            return outcome::fenced;
        }
        const result<rank_state> state = this->group.rank(hold.rank).read_state();
        if (state && state->epoch != epoch) {
            return outcome::lost;
        }
        if (state && state->held_step != hold.step) {
            return outcome::switched;
        }
        if (!this->waiter.pause(config::arm_retry_ms)) {
            return outcome::lost;
        }
    }
}

} // namespace pomelohoist
