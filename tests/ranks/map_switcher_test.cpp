#include "ranks/map_around.h"
#include "simulated_group.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <random>

/// Switches of the expert map on ranks that execute commands.
namespace pomelohoist {
namespace {

constexpr expert_shape small_shape{4, 8, 2, 3};

/// @returns number of schedules to run; MAP_SWITCH_SEEDS overrides it
std::uint64_t seeds() {
    const char* text = std::getenv("MAP_SWITCH_SEEDS");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : 120;
}

/// Never abandons a switch.
class patient_monitor : public switch_monitor {
  public:
    bool is_still_wanted() override { return true; }
};

map_policy test_policy() {
    map_policy policy;
    policy.max_new = 2;
    policy.calm = policy.busy; // switches as often as possible
    return policy;
}

/// A simulated group and a succession of coordinators.
class coordinated_group {
  public:
    coordinated_group(const group_faults& faults, std::uint64_t seed)
        : group(small_shape, faults, seed), random(seed), log(make_null_log()) {
        this->group.run_other_coordinator = [this] {
            // The whole host is frozen in half of the cases, so that the other coordinator cannot reach its rank.
            const std::uint32_t rank = this->coordinating_rank;
            if (this->random() % 2 == 0) {
                this->group.frozen_rank = rank;
            }
            this->run_term(6, (rank + 1) % small_shape.ranks);
            this->coordinating_rank = rank;
            this->group.frozen_rank.reset();
        };
    }

    /// Runs a new coordinator until it is killed, is fenced off, or has run its rounds.
    /// @param rank whose host the coordinator runs on
    void run_term(int rounds, std::uint32_t rank = 0) {
        this->coordinating_rank = rank;
        map_switcher switcher{this->group, (rank + 1) % small_shape.ranks, this->sweep, this->group, this->group.time(),
                              this->log};
        switcher.take_over(++this->fence);
        map_coordinator coordinator{this->group,   this->sweep,        switcher,  small_shape,
                                    test_policy(), this->group.time(), this->log, this->metrics};
        try {
            for (int i = 0; i < rounds; ++i) {
                this->shift_demand();
                if (this->before_round) {
                    this->before_round(i);
                }
                this->group.pause(300);
                if (!coordinator.run_once()) {
                    return;
                }
            }
        } catch (const coordinator_killed&) {
            return; // the coordinator of the next term completes an unfinished switch
        }
    }

    simulated_group group;
    bool is_steady{false}; ///< true: run_term() does not change the demand
    std::function<void(int)> before_round;

  private:
    void shift_demand() {
        if (this->is_steady) {
            return;
        }
        for (double& expert_demand : this->group.demand) {
            expert_demand = static_cast<double>(this->random() % 100) / 100.0;
        }
    }

    sequential_sweep sweep; // calls the ranks one after another, since virtual time has one thread
    std::mt19937_64 random;
    structured_log log;
    metrics_registry metrics;
    std::uint64_t fence{0};
    std::uint32_t coordinating_rank{0};
};

// Guards against a step that begins while ranks have different maps. Faults: lost and late commands, coordinators that
// are killed or frozen at any call, idle times, and groups that form anew.
TEST(map_switcher_test, no_step_mixes_maps_under_faults) {
    std::uint64_t switches = 0;
    std::uint64_t epochs = 0;
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        group_faults faults;
        faults.no_response_share = seed % 3 == 0 ? 0.0 : 0.35;
        faults.killed = seed % 2 == 0 ? 0.01 : 0.0;
        faults.frozen = seed % 4 < 2 ? 0.01 : 0.0;
        faults.new_epoch = seed % 5 == 0 ? 0.02 : 0.0;
        faults.idle = seed % 7 == 0 ? 0.3 : 0.05;
        coordinated_group deployment{faults, seed};
        for (int term = 0; term < 12; ++term) {
            deployment.run_term(12);
        }
        switches += deployment.group.switches;
        epochs += deployment.group.epochs;
        ASSERT_EQ(deployment.group.mixed_steps, 0U) << "seed " << seed;
    }
    // With fewer switches or epochs, a pass of the schedules would prove nothing.
    EXPECT_GT(switches, 1000U);
    EXPECT_GT(epochs, 120U);
}

// Guards against a group that stays held for ever after a coordinator was killed at any point of a switch.
TEST(map_switcher_test, a_new_coordinator_ends_every_hold) {
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
        group_faults faults;
        faults.no_response_share = 0.2;
        faults.killed = 0.05;
        coordinated_group deployment{faults, seed};
        for (int term = 0; term < 8; ++term) {
            deployment.run_term(8);
        }
        deployment.group.end_faults();
        deployment.run_term(6);
        const std::uint64_t steps = deployment.group.steps;
        deployment.group.pause(1000);
        EXPECT_GT(deployment.group.steps, steps + 10) << "seed " << seed;
        EXPECT_EQ(deployment.group.mixed_steps, 0U) << "seed " << seed;
    }
}

// Guards against steps that wait for a switch although nothing fails: arming must end before the group reaches the
// target step.
TEST(map_switcher_test, a_switch_without_faults_delays_no_step) {
    coordinated_group deployment{group_faults{}, 7};
    deployment.run_term(40);
    EXPECT_GT(deployment.group.switches, 5U);
    const auto elapsed = deployment.group.time().now().time_since_epoch();
    const auto possible =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()) / 50;
    EXPECT_GE(deployment.group.steps + 2, possible);
}

// Guards against steps on a map that does not fit, while a better one is prepared: a switch must not wait for more
// steps than arming takes. Arming takes less than one of these steps.
TEST(map_switcher_test, a_prepared_map_is_used_two_steps_later) {
    coordinated_group deployment{group_faults{}, 7};
    simulated_group& group = deployment.group;
    group.step_ms = 150;
    std::uint64_t seen_switches = 0;
    std::optional<std::uint64_t> steps_at_hold;
    std::vector<std::uint64_t> waits; // steps from each hold to its switch
    group.before_call = [&] {
        if (steps_at_hold && group.switches > seen_switches) {
            waits.push_back(group.steps - *steps_at_hold);
            steps_at_hold.reset();
        }
        if (!steps_at_hold && group.is_held()) {
            seen_switches = group.switches;
            steps_at_hold = group.steps;
        }
    };
    deployment.run_term(40);
    ASSERT_GT(waits.size(), 5U);
    // One more step may have begun between the hold and the next call.
    EXPECT_LE(waits.front(), 3U);
    EXPECT_LE(*std::max_element(waits.begin() + 1, waits.end()), 3U);
    EXPECT_EQ(group.mixed_steps, 0U);
}

// Guards against a group that stays on the first map after a power loss: a coordinator that has read the group while it
// formed must switch in the first round after some steps.
TEST(map_switcher_test, a_group_that_forms_anew_gets_its_map_in_the_first_round) {
    coordinated_group deployment{group_faults{}, 3};
    deployment.is_steady = true;
    for (std::size_t cell = 0; cell < deployment.group.demand.size(); ++cell) {
        deployment.group.demand[cell] =
            cell % small_shape.ranks == 0 ? 1.0 : 0.1; // the first rank has the highest load
    }
    deployment.group.lose_power();
    deployment.group.is_open = false;
    deployment.before_round = [&deployment](int round) { deployment.group.is_open = round > 2; };
    deployment.run_term(4);
    deployment.group.pause(1000);
    EXPECT_EQ(deployment.group.switches, 1U);
    EXPECT_EQ(deployment.group.mixed_steps, 0U);
}

// Guards against a group that stops while the host of its coordinator is frozen. The host is frozen before one call to
// a rank, a different call in each run; a step may then stay held only if a rank is armed.
TEST(map_switcher_test, a_hold_without_arming_ends_while_its_coordinator_is_frozen) {
    std::size_t ended = 0;
    std::size_t still_held = 0;
    for (std::uint32_t frozen_at = 1; frozen_at <= 400; ++frozen_at) {
        coordinated_group deployment{group_faults{}, 7};
        std::uint32_t calls = 0;
        deployment.group.before_call = [&] {
            if (++calls != frozen_at) {
                return;
            }
            const bool must_end = deployment.group.is_held() && !deployment.group.is_armed();
            deployment.group.frozen_rank = 0;
            deployment.run_term(4, 1); // a coordinator in the process of another rank
            deployment.group.frozen_rank.reset();
            still_held += must_end && deployment.group.is_held() ? 1 : 0;
            ended += must_end && !deployment.group.is_held() ? 1 : 0;
        };
        deployment.run_term(12);
        EXPECT_EQ(deployment.group.mixed_steps, 0U) << "frozen at call " << frozen_at;
    }
    EXPECT_EQ(still_held, 0U);
    EXPECT_GT(ended, 3U); // freezes of the host between a hold and the arming
}

// Guards against copies and steps spent on a map for a load that has gone: when the load changes while the ranks copy
// experts, the next map is planned at once.
TEST(map_switcher_test, a_map_for_an_earlier_load_is_abandoned_before_it_is_armed) {
    coordinated_group deployment{group_faults{}, 9};
    deployment.is_steady = true;
    const auto set_busy_experts = [&deployment](std::size_t first) {
        for (std::size_t cell = 0; cell < deployment.group.demand.size(); ++cell) {
            const std::size_t expert = cell % small_shape.experts;
            deployment.group.demand[cell] = expert == first || expert == first + 1 ? 2.0 : 0.1;
        }
    };
    set_busy_experts(0); // both at rank 0
    std::uint64_t switches_at_change = 0;
    deployment.before_round = [&](int round) {
        if (round == 0) {
            const steady_time change_at = deployment.group.time().now() + std::chrono::milliseconds{600};
            deployment.group.before_call = [&, change_at] {
                if (deployment.group.time().now() >= change_at && deployment.group.demand[0] > 1.0) {
                    switches_at_change = deployment.group.switches;
                    EXPECT_EQ(switches_at_change, 0U);
                    set_busy_experts(4); // both at rank 2
                }
            };
        }
    };
    deployment.run_term(12);
    EXPECT_EQ(deployment.group.switches, 1U); // none for the first load
    EXPECT_EQ(deployment.group.mixed_steps, 0U);
}

// Guards against a coordinator that continues after a coordinator with a higher fencing token has taken over.
TEST(map_switcher_test, an_older_coordinator_is_fenced_off) {
    simulated_group group{small_shape, group_faults{}, 1};
    structured_log log = make_null_log();
    sequential_sweep sweep;
    patient_monitor monitor;
    map_switcher older{group, 1, sweep, group, group.time(), log};
    older.take_over(1);
    map_switcher newer{group, 2, sweep, group, group.time(), log};
    newer.take_over(2);
    group.pause(5000);
    std::vector<std::uint32_t> slots(small_shape.slots(), no_expert);
    for (std::uint32_t layer = 0; layer < small_shape.layers; ++layer) {
        for (std::uint32_t expert = 0; expert < small_shape.experts; ++expert) {
            slots[layer * small_shape.slots_per_layer() + std::size_t{expert / 2} * small_shape.slots_per_rank +
                  expert % 2] = expert;
        }
    }
    const auto states = newer.read_states();
    ASSERT_TRUE(states);
    ASSERT_EQ(newer.switch_to(*states, small_shape, slots, monitor), map_switcher::outcome::switched);
    const auto seen = older.read_states();
    ASSERT_TRUE(seen);
    EXPECT_EQ(older.switch_to(*seen, small_shape, slots, monitor), map_switcher::outcome::fenced);
}

// Guards against a coordinator that arms ranks, or holds the group, after the rank of its hold has discarded the map.
TEST(map_switcher_test, a_discarded_map_is_not_armed_and_its_hold_ends) {
    coordinated_group deployment{group_faults{}, 7};
    simulated_group& group = deployment.group;
    bool was_discarded = false;
    bool was_armed = false;
    bool has_ended = false;
    group.before_call = [&] {
        has_ended = has_ended || (was_discarded && !group.is_held());
        was_armed = was_armed || (was_discarded && !has_ended && group.is_armed());
        if (was_discarded || !group.is_held() || group.is_armed()) {
            return;
        }
        const result<rank_state> state = group.rank(1).read_state();
        const result<rank_experts> experts = group.rank(1).read_experts();
        ASSERT_TRUE(state && experts);
        rank_command later{rank_command_kind::prepare, state->epoch, 1, state->prepared_version + 1, 0, 2, 4, {}};
        later.slots = map_around(small_shape, 1, *experts).value();
        EXPECT_EQ(group.rank(1).send_command(later), command_outcome::accepted);
        was_discarded = true;
    };
    deployment.run_term(40);
    EXPECT_TRUE(was_discarded);
    EXPECT_TRUE(has_ended);
    EXPECT_FALSE(was_armed);
}

// Guards against a hold that ends after a report from before the preparation, while its rank is armed: reports of
// engines that are read from another host are some hundred milliseconds old.
TEST(map_switcher_test, an_old_report_of_an_armed_rank_does_not_end_the_hold) {
    coordinated_group deployment{group_faults{}, 7};
    simulated_group& group = deployment.group;
    std::uint32_t old_reports = 0;
    group.on_report = [&](rank_state& state) {
        if (state.rank == 1 && state.armed && group.is_held() && old_reports < 3) {
            ++old_reports;
            state.armed.reset();
            state.prepared_version = 0;
        }
    };
    deployment.run_term(40);
    EXPECT_EQ(old_reports, 3U);
    EXPECT_GT(group.switches, 0U);
    EXPECT_EQ(group.mixed_steps, 0U);
}

// Guards against leads that are derived from the faster steps of an earlier load, and against a step that waits for
// ranks to be armed.
TEST(switch_lead_test, covers_the_arming_with_whole_steps) {
    using namespace std::chrono_literals;
    EXPECT_EQ(choose_lead({80ms, 400ms, 3}, 9), 2U);  // steps of 100 to 200 ms
    EXPECT_EQ(choose_lead({80ms, 400ms, 8}, 9), 3U);  // steps of some 50 ms
    EXPECT_EQ(choose_lead({220ms, 400ms, 8}, 9), 6U); // commands were retried
    EXPECT_EQ(choose_lead({80ms, 400ms, 0}, 9), 2U);  // an idle group
    EXPECT_EQ(choose_lead({900ms, 100ms, 2}, 9), 9U);
    EXPECT_EQ(choose_lead({80ms, 0ms, 0}, 9), 9U); // nothing was observed
}

// Guards against a map that a rank refuses, or that makes it copy experts.
TEST(map_around_test, is_valid_and_keeps_the_experts_of_the_rank) {
    const rank_experts held{3, {{5, 1, 7}, {0, 4}}};
    for (std::uint32_t rank = 0; rank < small_shape.ranks; ++rank) {
        const auto slots = map_around(small_shape, rank, held);
        ASSERT_TRUE(slots);
        for (std::uint32_t layer = 0; layer < small_shape.layers; ++layer) {
            const auto first = slots->begin() + static_cast<std::ptrdiff_t>(layer * small_shape.slots_per_layer());
            for (std::uint32_t expert = 0; expert < small_shape.experts; ++expert) {
                EXPECT_EQ(std::count(first, first + small_shape.slots_per_layer(), expert), 1);
            }
            const auto own = first + std::ptrdiff_t{rank} * std::ptrdiff_t{small_shape.slots_per_rank};
            EXPECT_TRUE(std::equal(held.by_layer[layer].begin(), held.by_layer[layer].end(), own));
        }
    }
    EXPECT_FALSE(map_around(small_shape, 4, held));
    EXPECT_FALSE(map_around(small_shape, 0, {3, {{5, 1, 7}}}));
    EXPECT_FALSE(map_around(small_shape, 0, {3, {{5, 1, 7, 2}, {0}}}));
}

// Guards against a sweep that omits a rank or calls it twice.
TEST(rank_sweep_test, calls_each_rank_once) {
    parallel_sweep sweep;
    for (const std::uint32_t ranks : {0U, 1U, 8U, 100U}) {
        std::vector<std::uint8_t> called(ranks, 0);
        sweep.for_each(ranks, [&called](std::uint32_t rank) { ++called[rank]; });
        EXPECT_EQ(std::count(called.begin(), called.end(), 1), static_cast<std::ptrdiff_t>(ranks));
    }
}

} // namespace
} // namespace pomelohoist
