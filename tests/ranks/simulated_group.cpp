#include "simulated_group.h"

#include <algorithm>

namespace pomelohoist {

namespace {

constexpr std::uint64_t copy_ms = 400;
constexpr std::uint64_t call_ms = 2;
constexpr std::uint64_t timeout_ms = 120;
constexpr std::uint64_t min_late_delay_ms = 2000;
constexpr std::uint64_t late_delay_spread_ms = 10000;

} // namespace

class simulated_rank : public rank_engine {
  public:
    simulated_rank(simulated_group& owner, std::uint32_t index) : group(owner), number(index) {}

    result<rank_state> read_state() override {
        this->group.maybe_interrupt();
        this->group.advance(call_ms);
        if (this->group.frozen_rank == this->number) {
            return failure{error_kind::unreachable, "frozen"};
        }
        const auto& own = this->group.data[this->number];
        rank_state state;
        state.group = "g";
        state.epoch = this->group.epoch;
        state.rank = this->number;
        state.ranks = this->group.shape.ranks;
        state.is_open = this->group.is_open;
        state.step = this->group.step;
        state.map_version = own.map_version;
        state.prepared_version = this->group.now_ms >= own.prepared_at_ms ? own.prepared_version : 0;
        state.armed = own.armed;
        state.held_step = own.held;
        if (this->group.on_report) {
            this->group.on_report(state);
        }
        return state;
    }

    result<std::vector<std::uint64_t>> read_counts() override {
        this->group.maybe_interrupt();
        return this->group.data[this->number].counts;
    }

    result<rank_experts> read_experts() override {
        this->group.maybe_interrupt();
        const auto& own = this->group.data[this->number];
        rank_experts held{own.map_version, {}};
        const expert_shape& shape = this->group.shape;
        for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
            std::vector<std::uint32_t> experts;
            for (std::uint32_t slot = 0; slot < shape.slots_per_rank; ++slot) {
                const std::uint16_t expert =
                    own.map[layer * shape.slots_per_layer() + std::size_t{this->number} * shape.slots_per_rank + slot];
                if (expert != static_cast<std::uint16_t>(no_expert)) {
                    experts.push_back(expert);
                }
            }
            held.by_layer.push_back(experts);
        }
        return held;
    }

    command_outcome send_command(const rank_command& command) override {
        return this->group.receive(this->number, command);
    }

  private:
    simulated_group& group;
    std::uint32_t number;
};

simulated_group::simulated_group(const expert_shape& group_shape, const group_faults& injected, std::uint64_t seed)
    : demand(group_shape.cells(), 1.0), shape(group_shape), faults(injected), random(seed), data(group_shape.ranks) {
    for (std::uint32_t i = 0; i < group_shape.ranks; ++i) {
        this->engines.push_back(std::make_unique<simulated_rank>(*this, i));
    }
    this->form_anew();
}

rank_engine& simulated_group::rank(std::uint32_t index) {
    return *this->engines[index];
}

bool simulated_group::chance(double probability) {
    return std::uniform_real_distribution<double>{0.0, 1.0}(this->random) < probability;
}

void simulated_group::form_anew() {
    const std::vector<std::uint32_t> first = [this] {
        std::vector<std::uint32_t> slots(this->shape.slots(), no_expert);
        for (std::uint32_t layer = 0; layer < this->shape.layers; ++layer) {
            for (std::uint32_t expert = 0; expert < this->shape.experts; ++expert) {
                const std::size_t slot_index = layer * this->shape.slots_per_layer() +
                                               std::size_t{expert % this->shape.ranks} * this->shape.slots_per_rank +
                                               expert / this->shape.ranks;
                slots[slot_index] = expert;
            }
        }
        return slots;
    }();
    for (rank_data& each : this->data) {
        each = rank_data{};
        each.map.assign(first.begin(), first.end());
        each.counts.assign(this->shape.cells(), 0);
    }
}

void simulated_group::maybe_interrupt() {
    if (this->is_interrupted) {
        return;
    }
    if (this->before_call) {
        this->is_interrupted = true;
        this->before_call();
        this->is_interrupted = false;
    }
    if (this->chance(this->faults.killed)) {
        throw coordinator_killed{};
    }
    if (this->run_other_coordinator && this->chance(this->faults.frozen)) {
        this->is_interrupted = true;
        this->run_other_coordinator();
        this->is_interrupted = false;
    }
}

command_outcome simulated_group::receive(std::uint32_t rank, const rank_command& command) {
    this->maybe_interrupt();
    if (this->frozen_rank == rank) {
        this->advance(timeout_ms);
        return command_outcome::no_response;
    }
    if (this->chance(this->faults.no_response_share)) {
        if (this->chance(0.5)) {
            const std::uint64_t delay = min_late_delay_ms + this->random() % late_delay_spread_ms;
            this->late_commands.push_back({this->now_ms + delay, rank, command});
        }
        this->advance(timeout_ms);
        return command_outcome::no_response;
    }
    this->advance(call_ms);
    const command_outcome outcome = this->execute(rank, command, true);
    // The response may be lost after the command was executed.
    return this->chance(this->faults.no_response_share / 4.0) ? command_outcome::no_response : outcome;
}

command_outcome simulated_group::execute(std::uint32_t rank, const rank_command& command, bool checks_token) {
    rank_data& own = this->data[rank];
    if (command.epoch != this->epoch) {
        return command_outcome::refused;
    }
    if (checks_token && command.fence < own.fence) {
        return command_outcome::fenced;
    }
    own.fence = std::max(own.fence, command.fence);
    switch (command.kind) {
    case rank_command_kind::prepare:
        if (command.version == own.prepared_version) {
            return command_outcome::accepted;
        }
        if (command.version <= own.highest_version || own.armed) {
            return command_outcome::refused;
        }
        own.highest_version = command.version;
        own.prepared_version = command.version;
        own.prepared = command.slots;
        own.prepared_at_ms = this->now_ms + copy_ms;
        return command_outcome::accepted;
    case rank_command_kind::arm:
        if (own.armed == armed_switch{command.version, command.step}) {
            return command_outcome::accepted;
        }
        if (own.prepared_version != command.version || this->now_ms < own.prepared_at_ms ||
            command.step <= this->step) {
            return command_outcome::refused;
        }
        own.armed = armed_switch{command.version, command.step};
        return command_outcome::accepted;
    case rank_command_kind::hold:
        if (command.step <= this->step || (own.held && *own.held != command.step)) {
            return command_outcome::refused;
        }
        own.held = command.step;
        return command_outcome::accepted;
    case rank_command_kind::go:
        if (own.held == command.step) {
            own.held.reset();
        }
        return command_outcome::accepted;
    case rank_command_kind::count:
        break;
    }
    return command_outcome::refused;
}

bool simulated_group::is_held() const {
    return std::any_of(this->data.begin(), this->data.end(),
                       [](const rank_data& each) { return each.held.has_value(); });
}

bool simulated_group::is_armed() const {
    return std::any_of(this->data.begin(), this->data.end(),
                       [](const rank_data& each) { return each.armed.has_value(); });
}

void simulated_group::begin_step() {
    const std::uint64_t next = this->step + 1;
    for (const rank_data& each : this->data) {
        if (each.held == next) {
            return;
        }
    }
    this->step = next;
    ++this->steps;
    bool has_switched = false;
    for (rank_data& each : this->data) {
        if (each.armed && each.armed->step == next) {
            each.map = each.prepared;
            each.map_version = each.armed->version;
            each.armed.reset();
            has_switched = true;
        }
    }
    this->switches += has_switched ? 1 : 0;
    const rank_data& first = this->data.front();
    const bool is_mixed = std::any_of(this->data.begin(), this->data.end(), [&first](const rank_data& each) {
        return each.map_version != first.map_version || each.map != first.map;
    });
    this->mixed_steps += is_mixed ? 1 : 0;
    for (std::size_t cell = 0; cell < this->demand.size(); ++cell) {
        this->data[this->step % this->data.size()].counts[cell] +=
            static_cast<std::uint64_t>(this->demand[cell] * 10.0);
    }
}

void simulated_group::advance(std::uint64_t milliseconds) {
    for (std::uint64_t i = 0; i < milliseconds; ++i) {
        ++this->now_ms;
        this->virtual_time.advance(std::chrono::milliseconds{1});
        for (auto entry = this->late_commands.begin(); entry != this->late_commands.end();) {
            if (entry->at_ms > this->now_ms) {
                ++entry;
                continue;
            }
            // The protocol of the platform does not specify whether the fencing token of a late command is checked. The
            // simulation assumes the worse case: the token is not checked.
            static_cast<void>(this->execute(entry->rank, entry->command, false));
            entry = this->late_commands.erase(entry);
        }
        if (this->is_open && !this->is_idle && this->now_ms % this->step_ms == 0) {
            this->begin_step();
        }
    }
}

bool simulated_group::pause(std::uint32_t milliseconds) {
    this->maybe_interrupt();
    if (this->chance(this->faults.new_epoch)) {
        this->lose_power();
    }
    this->is_idle = this->chance(this->faults.idle);
    this->advance(milliseconds);
    return true;
}

void simulated_group::lose_power() {
    ++this->epoch;
    ++this->epochs;
    this->form_anew();
}

void simulated_group::end_faults() {
    this->faults = {};
    this->is_idle = false;
    this->advance(min_late_delay_ms + late_delay_spread_ms);
}

} // namespace pomelohoist
