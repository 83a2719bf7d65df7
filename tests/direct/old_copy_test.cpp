#include "spread_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <ostream>

/// Tests of processes that hold an old copy of what others know better, and pass it on after they were out of touch.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;
using condition = store_path::condition;

endpoint_record at_port(const std::string& instance, std::uint16_t port) {
    endpoint_record content = record(instance);
    content.address.port = port;
    return content;
}

bool uses(const node& process, const std::string& instance) {
    const routing_snapshot snapshot = process.state.current();
    return snapshot.endpoints &&
           std::any_of(snapshot.endpoints->endpoints.begin(), snapshot.endpoints->endpoints.end(),
                       [&instance](const auto& one) { return one.instance == instance && !one.is_leaving; });
}

/// The first entry, which reads the store, and two others. Each has its own way to the store.
class old_copy_test : public testing::TestWithParam<condition> {
  protected:
    void SetUp() override {
        this->store.put(at_port("left", 81));
        this->store.put(at_port("stays", 82));
        for (node* process : {&this->reader, &this->second, &this->third}) {
            process->start();
        }
        ASSERT_TRUE(eventually([this] {
            return this->reader.endpoints() == 2 && this->second.endpoints() == 2 && this->third.endpoints() == 2;
        }));
        // From then on the store counts as reliable: it has not failed.
    }

    [[nodiscard]] bool do_others_use(const std::string& instance) const {
        return uses(this->second, instance) || uses(this->third, instance);
    }

    fake_store store;
    store_path first_path{this->store};
    store_path second_path{this->store};
    store_path third_path{this->store};
    node reader{"entry-1", this->first_path};
    node second{"entry-2", this->second_path, true, {this->reader.own.address}};
    node third{"entry-3", this->third_path, true, {this->reader.own.address}};
};

// Guards against an endpoint that gets requests again after it has left: the reader had lost the store when the
// endpoint left, and passed its own old list on as a new one when it read again.
TEST_P(old_copy_test, a_reader_that_comes_back_brings_no_endpoint_back) {
    this->first_path.state = GetParam();
    std::this_thread::sleep_for(500ms);
    this->store.drop("left");
    ASSERT_TRUE(eventually([this] { return !this->do_others_use("left"); }));
    this->store.put(at_port("new", 83));
    ASSERT_TRUE(eventually([this] { return uses(this->second, "new") && uses(this->third, "new"); }));
    this->store.declare(2); // the next reading has a higher revision than all lists
    this->first_path.state = condition::open;
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 2s) {
        ASSERT_FALSE(this->do_others_use("left"));
        ASSERT_TRUE(uses(this->second, "stays") && uses(this->third, "new"));
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_FALSE(uses(this->reader, "left"));
    EXPECT_TRUE(uses(this->reader, "new"));
}

// Guards against an endpoint that was leaving and is used again.
TEST_P(old_copy_test, a_reader_that_comes_back_does_not_forget_that_an_endpoint_leaves) {
    this->first_path.state = GetParam();
    std::this_thread::sleep_for(500ms);
    endpoint_record leaving = at_port("left", 81);
    leaving.is_leaving = true;
    this->store.put(leaving);
    ASSERT_TRUE(eventually([this] { return !this->do_others_use("left"); }));
    this->store.drop("left");
    ASSERT_TRUE(eventually([this] { return this->second.endpoints() == 1 && this->third.endpoints() == 1; }));
    this->store.declare(2); // the next reading has a higher revision than all lists
    this->first_path.state = condition::open;
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 2s) {
        ASSERT_FALSE(this->do_others_use("left"));
        std::this_thread::sleep_for(5ms);
    }
}

// Guards against removing what may only have lapsed: with the whole store away, registrations stay in use until they
// can be renewed, and go if they are not.
TEST_P(old_copy_test, registrations_that_lapse_with_the_store_are_kept_for_a_while) {
    constexpr std::chrono::milliseconds in_force{2000}; // required bound
    for (store_path* path : {&this->first_path, &this->second_path, &this->third_path}) {
        path->state = GetParam();
    }
    this->store.drop("left");
    this->store.drop("stays");
    std::this_thread::sleep_for(1500ms); // all entries have tried to read
    for (store_path* path : {&this->first_path, &this->second_path, &this->third_path}) {
        path->state = condition::open;
    }
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 900ms) {
        ASSERT_TRUE(this->do_others_use("left") && uses(this->second, "stays") && uses(this->reader, "stays"));
        std::this_thread::sleep_for(5ms);
    }
    this->store.put(at_port("stays", 82));
    ASSERT_TRUE(eventually([this] { return !this->do_others_use("left") && !uses(this->reader, "left"); }));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, in_force + 300ms); // a call that began before may still fail
    EXPECT_TRUE(uses(this->second, "stays") && uses(this->third, "stays") && uses(this->reader, "stays"));
}

INSTANTIATE_TEST_SUITE_P(ways, old_copy_test, testing::Values(condition::refused, condition::silent),
                         [](const auto& way) {
                             return way.param == condition::refused ? std::string{"refused"} : std::string{"silent"};
                         });

// Guards against a process that was cut off or stopped with an old list, whose next reading takes place just after a
// failure of its own: what it keeps of that list must not return to processes that know better.
TEST(old_list_test, a_process_with_an_old_list_brings_no_endpoint_back) {
    fake_store store;
    store.put(at_port("left", 81));
    store.put(at_port("stays", 82));
    store_path path{store};
    node informed{"entry-1", store};
    informed.start();
    ASSERT_TRUE(eventually([&] { return informed.endpoints() == 2; }));
    const endpoint_list old = *informed.state.current().endpoints;
    store.drop("left");
    ASSERT_TRUE(eventually([&] { return informed.endpoints() == 1; }));
    store.put(at_port("new", 83));
    ASSERT_TRUE(eventually([&] { return uses(informed, "new"); }));
    store.declare(2); // the next reading has a higher revision than all lists
    node late{"entry-0", path};
    late.state.apply_endpoints(old);
    path.failing_calls = 2;
    late.start();
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 2500ms) {
        ASSERT_FALSE(uses(informed, "left"));
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_TRUE(uses(late, "stays") && !uses(late, "left"));
}

// Guards against lists that a process has read but not spread before it lost touch: their revisions are higher than
// those of the lists in use, which the reader has found unchanged since.
TEST(old_list_test, a_reader_refuses_lists_that_are_older_than_its_last_reading) {
    fake_store store;
    fake_store no_store;
    no_store.is_down = true;
    store.put(at_port("stays", 82));
    store.evacuate("dc");
    node reader{"entry-1", store};
    node other{"entry-2", store, true, {reader.own.address}};
    node late{"entry-3", no_store};
    reader.start();
    other.start();
    ASSERT_TRUE(eventually([&] {
        return reader.endpoints() == 1 && other.endpoints() == 1 && reader.is_evacuated("dc") &&
               other.is_evacuated("dc");
    }));
    const std::uint64_t in_use = reader.state.current().versions().endpoints;
    for (std::uint64_t version = 2; version < 10; ++version) {
        store.declare(version);
    }
    ASSERT_TRUE(eventually([&] {
        const routing_versions confirmed = reader.state.confirmed_versions();
        return confirmed.endpoints > in_use + 4 && confirmed.evacuations > in_use + 4;
    }));
    EXPECT_EQ(reader.state.current().versions().endpoints, in_use) << "nobody fetches an unchanged list";
    late.state.apply_routing(routing_with_version(9));
    late.state.apply_endpoints({in_use + 4, {at_port("left", 81), at_port("stays", 82)}});
    late.state.apply_evacuations({in_use + 4, {"dc", "other"}});
    late.link.add_peers({reader.own, other.own});
    late.start();
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 1500ms) {
        ASSERT_FALSE(uses(reader, "left"));
        ASSERT_FALSE(reader.is_evacuated("other"));
        std::this_thread::sleep_for(1ms);
    }
    for (node* process : {&other, &late}) {
        EXPECT_TRUE(eventually([&] { return !uses(*process, "left") && !process->is_evacuated("other"); }));
        EXPECT_TRUE(uses(*process, "stays") && process->is_evacuated("dc"));
    }
}

} // namespace
} // namespace pomelohoist
