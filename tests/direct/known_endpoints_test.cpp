#include "direct/known_endpoints.h"

#include "common/log.h"
#include "common/random_source.h"
#include "direct/routing_state.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

/// Tests of the decision which endpoints a process uses, by its own readings and by those of others.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds return_time{config::endpoint_return_time};

endpoint_record endpoint(const std::string& instance, std::uint16_t port = 80, std::uint64_t started_ms = 1) {
    return {instance, "s", {"10.0.0.1", port}, "dc", 4, false, started_ms};
}

endpoint_list list_at(std::uint64_t revision, const std::vector<std::string>& instances) {
    endpoint_list list{revision, {}};
    for (const std::string& instance : instances) {
        list.endpoints.push_back(endpoint(instance));
    }
    return list;
}

std::vector<std::string> used(const known_endpoints& view) {
    std::vector<std::string> instances;
    for (const endpoint_record& record : view.used().endpoints) {
        instances.push_back(record.instance);
    }
    return instances;
}

using instances = std::vector<std::string>;

} // namespace

// Guards against an endpoint that returns to a process that had dropped it: another process, which could not read the
// store for a while, keeps it and sends it with a newer reading.
TEST(known_endpoints_test, a_kept_endpoint_does_not_return_to_a_process_that_knows_better) {
    const steady_time now{1h};
    known_endpoints informed;
    known_endpoints late;
    for (known_endpoints* view : {&informed, &late}) {
        ASSERT_TRUE(view->read(list_at(8, {"left", "stays"}), missing_endpoints::removed, now));
    }
    ASSERT_TRUE(informed.read(list_at(10, {"stays"}), missing_endpoints::removed, now));
    ASSERT_TRUE(late.read(list_at(11, {"new", "stays"}), missing_endpoints::kept, now));
    EXPECT_EQ(used(late), (instances{"left", "new", "stays"}));
    EXPECT_TRUE(informed.merge(late.report(now), now, now));
    EXPECT_EQ(used(informed), (instances{"new", "stays"}));
    // It is not passed on to others either.
    EXPECT_TRUE(informed.report(now).kept.empty());
}

// Guards against requests to an endpoint that leaves: a process that keeps it had not read yet that it does.
TEST(known_endpoints_test, a_kept_endpoint_keeps_its_newest_state) {
    const steady_time now{1h};
    known_endpoints informed;
    known_endpoints late;
    for (known_endpoints* known : {&informed, &late}) {
        ASSERT_TRUE(known->read(list_at(8, {"a"}), missing_endpoints::removed, now));
    }
    endpoint_record leaving = endpoint("a");
    leaving.is_leaving = true;
    ASSERT_TRUE(informed.read({10, {leaving}}, missing_endpoints::removed, now));
    ASSERT_TRUE(late.read(list_at(11, {}), missing_endpoints::kept, now));
    ASSERT_TRUE(informed.merge(late.report(now), now, now));
    EXPECT_EQ(informed.used().endpoints, (std::vector<endpoint_record>{leaving}));
    // Nor does its own old state return while it is kept.
    ASSERT_TRUE(late.read(list_at(13, {"b"}), missing_endpoints::kept, now));
    ASSERT_TRUE(informed.merge(late.report(now), now, now));
    EXPECT_TRUE(informed.used().endpoints.front().is_leaving);
}

// Guards against keeping endpoints of an own old list that are missing in a newer one from another process.
TEST(known_endpoints_test, only_endpoints_of_the_newest_reading_are_kept) {
    const steady_time now{1h};
    known_endpoints view;
    ASSERT_TRUE(view.read(list_at(8, {"left", "stays"}), missing_endpoints::removed, now));
    ASSERT_TRUE(view.merge({list_at(10, {"stays"})}, now, now));
    ASSERT_TRUE(view.read(list_at(12, {}), missing_endpoints::kept, now));
    EXPECT_EQ(used(view), (instances{"stays"}));
}

// Guards against removing what may only have lapsed at a process that learns it from the one that reads.
TEST(known_endpoints_test, a_process_without_a_newer_reading_keeps_what_the_reader_keeps) {
    const steady_time now{1h};
    known_endpoints reader;
    known_endpoints other;
    for (known_endpoints* view : {&reader, &other}) {
        ASSERT_TRUE(view->read(list_at(8, {"a", "b"}), missing_endpoints::removed, now));
    }
    ASSERT_TRUE(reader.read(list_at(11, {}), missing_endpoints::kept, now));
    ASSERT_TRUE(other.merge(reader.report(now), now, now));
    EXPECT_EQ(used(other), (instances{"a", "b"}));
    // A process that starts now uses them too.
    known_endpoints started;
    ASSERT_TRUE(started.merge(other.report(now), now, now));
    EXPECT_EQ(used(started), (instances{"a", "b"}));
    for (known_endpoints* view : {&reader, &other, &started}) {
        EXPECT_FALSE(view->apply_due_changes(now + return_time - 1ms));
        EXPECT_TRUE(view->apply_due_changes(now + return_time));
        EXPECT_TRUE(used(*view).empty());
    }
}

// Guards against a time that starts again with each reader, or with each message.
TEST(known_endpoints_test, handing_on_does_not_prolong_the_time_for_which_an_endpoint_is_kept) {
    const steady_time begin{1h};
    known_endpoints first;
    known_endpoints second;
    for (known_endpoints* view : {&first, &second}) {
        ASSERT_TRUE(view->read(list_at(8, {"a"}), missing_endpoints::removed, begin));
    }
    ASSERT_TRUE(first.read(list_at(9, {}), missing_endpoints::kept, begin));
    steady_time now = begin;
    for (std::uint64_t revision = 10; now < begin + return_time - 200ms; revision += 2) {
        // Each response takes 100 ms, and each process reads the store with failures before.
        const endpoint_reading to_second = first.report(now);
        ASSERT_TRUE(second.merge(to_second, now, now + 100ms));
        now += 100ms;
        ASSERT_TRUE(second.read(list_at(revision, {"x" + std::to_string(revision)}), missing_endpoints::kept, now));
        ASSERT_TRUE(first.merge(second.report(now), now, now + 100ms));
        now += 100ms;
        ASSERT_TRUE(first.read(list_at(revision + 1, {}), missing_endpoints::kept, now));
    }
    for (known_endpoints* view : {&first, &second}) {
        view->apply_due_changes(begin + return_time);
        const instances left = used(*view);
        EXPECT_EQ(std::count(left.begin(), left.end(), "a"), 0);
    }
}

// Guards against a list that the reader has not spread before it lost touch, and that a newer reading has shown to be
// old: its revision is higher than that of the list in use, which no change has replaced since.
TEST(known_endpoints_test, a_list_that_is_older_than_a_confirming_reading_is_refused) {
    const steady_time now{1h};
    known_endpoints view;
    ASSERT_TRUE(view.read(list_at(20, {"a"}), missing_endpoints::removed, now));
    ASSERT_TRUE(view.read(list_at(30, {"a"}), missing_endpoints::removed, now));
    EXPECT_EQ(view.used().revision, 20U) << "the other processes need not fetch it again";
    EXPECT_EQ(view.confirmed_revision(), 30U);
    EXPECT_FALSE(view.merge({list_at(25, {"a", "b"})}, now, now));
    EXPECT_EQ(used(view), (instances{"a"}));
    EXPECT_TRUE(view.adopt_confirmed_revision());
    EXPECT_EQ(view.used().revision, 30U);
    EXPECT_EQ(view.report(now).listed, list_at(30, {"a"}));
    EXPECT_FALSE(view.adopt_confirmed_revision());
}

// Guards against using an address under its old registration while a new one for it is listed.
TEST(known_endpoints_test, a_new_registration_replaces_a_kept_one) {
    const steady_time now{1h};
    known_endpoints view;
    ASSERT_TRUE(view.read({8, {endpoint("a", 80, 1), endpoint("b", 81, 1)}}, missing_endpoints::removed, now));
    ASSERT_TRUE(view.read({9, {endpoint("a", 90, 2), endpoint("c", 81, 2)}}, missing_endpoints::kept, now));
    EXPECT_EQ(view.used().endpoints, (std::vector<endpoint_record>{endpoint("a", 90, 2), endpoint("c", 81, 2)}));
}

// Guards against a process that receives, with a list, what its sender leaves out for a while only, and never uses it.
TEST(known_endpoints_test, a_hold_is_passed_on_with_its_end) {
    const steady_time now{1h};
    known_endpoints informed;
    ASSERT_TRUE(informed.read(list_at(8, {"a", "b"}), missing_endpoints::removed, now));
    ASSERT_TRUE(informed.read(list_at(9, {"b"}), missing_endpoints::removed, now));
    informed.begin_hold(now + 1s, now + 6s);
    ASSERT_TRUE(informed.read(list_at(100, {"a", "b"}), missing_endpoints::removed, now + 1s));
    EXPECT_EQ(used(informed), (instances{"b"}));
    known_endpoints started;
    ASSERT_TRUE(started.merge(informed.report(now + 2s), now + 2s, now + 3s));
    EXPECT_EQ(used(started), (instances{"b"}));
    // A process that receives it from there does not hold it longer.
    known_endpoints last;
    ASSERT_TRUE(last.merge(started.report(now + 4s), now + 4s, now + 5s));
    EXPECT_EQ(used(last), (instances{"b"}));
    for (known_endpoints* view : {&informed, &started, &last}) {
        EXPECT_FALSE(view->apply_due_changes(now + 6s - 1ms));
        EXPECT_TRUE(view->apply_due_changes(now + 6s));
        EXPECT_EQ(used(*view), (instances{"a", "b"}));
    }
}

// Guards against a hold that begins when a process learns of a restore long after it, from a process that knows when
// the hold ends.
TEST(known_endpoints_test, a_process_that_learns_of_a_restore_late_holds_no_longer_than_the_others) {
    manual_clock time;
    time.advance(1h);
    structured_log log{make_null_log()};
    routing_state informed{time, log};
    routing_state late{time, log};
    const auto list = [](std::uint64_t era, std::uint64_t number, const instances& names) {
        return list_at(make_list_revision({era, number}), names);
    };
    for (routing_state* state : {&informed, &late}) {
        ASSERT_TRUE(state->apply_endpoints(list(1, 8, {"a", "b"})));
        ASSERT_TRUE(state->apply_endpoints(list(1, 9, {"b"})));
    }
    time.advance(1s);
    ASSERT_TRUE(informed.apply_endpoints(list(2, 3, {"a", "b"})));
    time.advance(config::restored_registration_time - 1s);
    ASSERT_TRUE(late.merge_endpoints(*informed.endpoint_report(), time.now()));
    EXPECT_EQ(late.current().endpoints->endpoints.size(), 1U);
    time.advance(1s);
    for (routing_state* state : {&informed, &late}) {
        state->apply_due_changes();
        EXPECT_EQ(state->current().endpoints->endpoints.size(), 2U);
    }
}

namespace {

/// Processes that read a store and send each other what they know. Each may lose the store or the others, be stopped,
/// or start anew, and messages may arrive late and out of order. Registrations leave for good.
class old_copy_simulation {
  public:
    explicit old_copy_simulation(std::uint64_t seed) : random(seed), processes(5) {}

    void run() {
        for (int i = 0; i < 12; ++i) {
            this->store[this->next_name()] = 0;
        }
        for (int step = 0; step < 600 && !testing::Test::HasFailure(); ++step) {
            this->now += std::chrono::milliseconds{this->random.next() % 200};
            this->change_store();
            process& actor = this->processes[this->random.next() % this->processes.size()];
            this->act(actor);
            this->check();
        }
    }

  private:
    struct process {
        known_endpoints view;
        bool is_stopped{false};
        bool reaches_store{true};
        steady_time failed_at{};
        std::map<std::string, steady_time> known_gone; ///< by instance, when a reading without it became known here
    };
    struct message {
        endpoint_reading content;
        steady_time sent_at;
    };

    std::string next_name() { return "e" + std::to_string(this->next_instance++); }

    void change_store() {
        if (this->random.next() % 3 == 0) {
            this->store[this->next_name()] = 0;
            ++this->revision;
        }
        if (this->random.next() % 3 == 0 && this->store.size() > 4) {
            const auto leaving = std::next(this->store.begin(), static_cast<long>(this->random.next() % 4));
            this->removed_at[leaving->first] = ++this->revision;
            this->store.erase(leaving);
        }
        this->revision += this->random.next() % 2; // a change of another table
    }

    void act(process& actor) {
        switch (this->random.next() % 12) {
        case 0:
            actor.is_stopped = !actor.is_stopped;
            return;
        case 1:
            actor.reaches_store = !actor.reaches_store;
            return;
        case 2:
            if (this->random.next() % 4 == 0) {
                actor = {};
                std::erase_if(this->dropped, [&actor](const auto& each) { return each.first == &actor; });
            }
            return;
        default:
            break;
        }
        if (actor.is_stopped) {
            return;
        }
        actor.view.apply_due_changes(this->now);
        if (this->random.next() % 2 == 0) {
            this->read(actor);
        } else if (!this->messages.empty()) {
            // Any of the latest messages: it may have been under way for long.
            const message& received = this->messages[this->random.next() % this->messages.size()];
            actor.view.merge(received.content, received.sent_at, this->now);
        }
        this->note_known(actor);
        if (actor.view.has_reading()) {
            this->messages.push_back({actor.view.report(this->now), this->now});
            if (this->messages.size() > 20) {
                this->messages.pop_front();
            }
        }
    }

    void read(process& actor) {
        if (!actor.reaches_store) {
            actor.failed_at = this->now;
            return;
        }
        endpoint_list list{this->revision, {}};
        for (const auto& [name, unused] : this->store) {
            list.endpoints.push_back(endpoint(name, static_cast<std::uint16_t>(std::stoul(name.substr(1)))));
        }
        const bool is_reliable = this->now - actor.failed_at > config::store_recovery_grace;
        actor.view.read(std::move(list), is_reliable ? missing_endpoints::removed : missing_endpoints::kept, this->now);
    }

    void note_known(process& actor) {
        for (const auto& [name, at] : this->removed_at) {
            if (actor.view.has_reading() && actor.view.confirmed_revision() >= at) {
                actor.known_gone.try_emplace(name, this->now);
            }
        }
        // An endpoint that this process has stopped using is not used again.
        const instances in_use = used(actor.view);
        for (const auto& [name, since] : actor.known_gone) {
            const bool is_used = std::find(in_use.begin(), in_use.end(), name) != in_use.end();
            if (!is_used) {
                this->dropped.insert({&actor, name});
            }
            EXPECT_FALSE(is_used && this->dropped.contains({&actor, name}))
                << name << " is used again by process " << &actor - this->processes.data();
        }
    }

    void check() {
        for (process& each : this->processes) {
            if (each.is_stopped) {
                continue;
            }
            each.view.apply_due_changes(this->now);
            const instances in_use = used(each.view);
            for (const auto& [name, since] : each.known_gone) {
                const bool is_used = std::find(in_use.begin(), in_use.end(), name) != in_use.end();
                EXPECT_FALSE(is_used && this->now >= since + return_time)
                    << name << " is kept too long by process " << &each - this->processes.data();
            }
            if (each.view.has_reading()) {
                this->expect_listed_are_used(each, in_use);
            }
        }
    }

    void expect_listed_are_used(const process& each, const instances& in_use) const {
        for (const endpoint_record& record : each.view.report(this->now).listed.endpoints) {
            EXPECT_NE(std::find(in_use.begin(), in_use.end(), record.instance), in_use.end());
        }
    }

    seeded_random random;
    steady_time now{1h};
    std::uint64_t revision{1};
    std::uint64_t next_instance{1};
    std::map<std::string, int> store;
    std::map<std::string, std::uint64_t> removed_at;
    std::vector<process> processes;
    std::deque<message> messages;
    std::set<std::pair<const process*, std::string>> dropped;
};

} // namespace

// Guards against an endpoint that comes back to a process that knows it has left, or that stays longer than a lapsed
// registration needs, whichever way processes lost touch and came back.
TEST(known_endpoints_test, no_old_copy_brings_an_endpoint_back) {
    for (std::uint64_t seed = 1; seed <= 200 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        old_copy_simulation{seed}.run();
    }
}

} // namespace pomelohoist
