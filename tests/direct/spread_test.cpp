#include "direct/peer_link.h"
#include "direct/store_watcher.h"

#include <gtest/gtest.h>

#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

/// How what one process knows reaches the others.
namespace pomelohoist {
namespace {

using namespace std::chrono_literals;

endpoint_record record(const std::string& instance) {
    return {instance, "s", {"10.0.0.1", 80}, "dc", 4, false, 0};
}

routing_content version(std::uint64_t number) {
    routing_content content;
    content.version = number;
    return content;
}

bool eventually(const std::function<bool()>& holds) {
    for (int i = 0; i < 300; ++i) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

/// A store in memory that tests refuse, empty and cut short.
class fake_store : public control_store {
  public:
    result<done> register_peer(const peer_record& own) override {
        return this->answer<done>([&] {
            this->peers.push_back(own);
            return done{};
        });
    }
    result<std::vector<peer_record>> read_peers() override {
        return this->answer<std::vector<peer_record>>([&] { return this->peers; });
    }
    result<routing_change> read_routing() override {
        return this->answer<routing_change>([&] { return routing_change{this->revision, this->routing}; });
    }
    result<routing_change> watch_routing(std::uint64_t after, std::chrono::milliseconds /*wait*/) override {
        std::this_thread::sleep_for(20ms);
        if (after < this->oldest) {
            return failure{error_kind::stale_configuration, "gone"};
        }
        return this->answer<routing_change>([&] {
            return routing_change{this->revision,
                                  this->routing_revision > after ? std::optional{this->routing} : std::nullopt};
        });
    }
    result<endpoint_snapshot> read_endpoints() override {
        ++this->snapshots;
        return this->answer<endpoint_snapshot>([&] {
            endpoint_snapshot snapshot{this->revision, {}};
            for (const auto& [name, content] : this->endpoints) {
                snapshot.endpoints.push_back(content);
            }
            return snapshot;
        });
    }
    result<endpoint_changes> watch_endpoints(std::uint64_t after) override {
        if (after < this->oldest) {
            return failure{error_kind::stale_configuration, "gone"};
        }
        return this->answer<endpoint_changes>([&] {
            endpoint_changes changes{this->revision, {}};
            for (const auto& [at, change] : this->history) {
                if (at > after) {
                    changes.changes.push_back(change);
                }
            }
            return changes;
        });
    }

    void put(const endpoint_record& content) {
        const std::lock_guard lock{this->mutex};
        this->endpoints[content.instance] = content;
        this->history.push_back({++this->revision, {content.instance, content}});
    }
    void drop(const std::string& instance) {
        const std::lock_guard lock{this->mutex};
        this->endpoints.erase(instance);
        this->history.push_back({++this->revision, {instance, std::nullopt}});
    }
    void declare(std::uint64_t number) {
        const std::lock_guard lock{this->mutex};
        this->routing = version(number);
        this->routing_revision = ++this->revision;
    }

    std::atomic<bool> is_down{false};
    std::atomic<std::uint64_t> oldest{0};
    std::atomic<int> snapshots{0};

  private:
    template <class T> result<T> answer(const std::function<T()>& content) {
        const std::lock_guard lock{this->mutex};
        if (this->is_down) {
            return failure{error_kind::store_unavailable, "down"};
        }
        return content();
    }

    std::mutex mutex;
    std::uint64_t revision{1};
    std::uint64_t routing_revision{1};
    routing_content routing{version(1)};
    std::vector<peer_record> peers;
    std::map<std::string, endpoint_record> endpoints;
    std::vector<std::pair<std::uint64_t, endpoint_change>> history;
};

/// One process of the system.
class node {
  public:
    node(const std::string& name, control_store& store, bool is_entry = true, std::vector<net_address> seeds = {})
        : own{name, {"127.0.0.1", free_port()}},
          link({this->own, is_entry, std::move(seeds)}, this->shared, this->board, nullptr, this->time, this->log),
          follower(store, this->own, is_entry, this->shared, this->link, this->time, this->log, this->metrics) {}
    ~node() {
        this->follower.stop();
        this->link.stop();
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start() {
        this->link.start();
        this->follower.start();
    }
    [[nodiscard]] std::uint64_t routing() const {
        const routing_snapshot seen = this->shared.current();
        return seen.routing ? seen.routing->version() : 0;
    }
    [[nodiscard]] std::size_t endpoints() const {
        const routing_snapshot seen = this->shared.current();
        return seen.endpoints ? seen.endpoints->endpoints.size() : 0;
    }

    static std::uint16_t free_port() {
        const Poco::Net::ServerSocket probe{Poco::Net::SocketAddress{"127.0.0.1", 0}};
        return probe.address().port();
    }

    system_clock time;
    structured_log log{make_null_log()};
    metrics_registry metrics;
    routing_state shared{this->time, this->log};
    load_tracker board{this->time};
    peer_record own;
    peer_link link;
    store_watcher follower;
};

// Guards against a version that is taken back, by a late reader or a slow peer.
TEST(shared_view_test, takes_only_newer_versions) {
    system_clock time;
    structured_log log = make_null_log();
    routing_state shared{time, log};
    EXPECT_TRUE(shared.take_routing(version(5)));
    EXPECT_FALSE(shared.take_routing(version(5)));
    EXPECT_FALSE(shared.take_routing(version(4)));
    EXPECT_EQ(shared.current().routing->version(), 5U);
    EXPECT_TRUE(shared.take_endpoints({7, {record("a")}}));
    EXPECT_FALSE(shared.take_endpoints({6, {}}));
    EXPECT_EQ(shared.current().endpoints->endpoints.size(), 1U);
}

// Guards against a process that the store refuses and that therefore never hears of a change.
TEST(spread_test, a_process_that_the_store_refuses_hears_from_its_peers) {
    fake_store store;
    fake_store refusing;
    refusing.is_down = true;
    store.put(record("a"));
    node reader{"entry-1", store};
    reader.start();
    node cut_off{"entry-2", refusing, true, {reader.own.address}};
    cut_off.start();
    ASSERT_TRUE(eventually([&] { return cut_off.routing() == 1 && cut_off.endpoints() == 1; }));
    store.declare(9);
    store.put(record("b"));
    // Within the two seconds in which a change must be in force everywhere.
    EXPECT_TRUE(eventually([&] { return cut_off.routing() == 9 && cut_off.endpoints() == 2; }));
}

// Guards against changes that nobody reads after the reader has lost the store.
TEST(spread_test, another_process_reads_when_the_first_cannot) {
    fake_store first_store;
    fake_store second_store;
    node first{"entry-1", first_store};
    node second{"entry-2", second_store, true, {first.own.address}};
    first.start();
    second.start();
    ASSERT_TRUE(eventually([&] { return first.routing() == 1 && second.routing() == 1; }));
    first_store.is_down = true;
    second_store.declare(4);
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([&] { return first.routing() == 4 && second.routing() == 4; }));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
}

// Guards against a pause, and against following what is gone, when a new reader starts from an old revision.
TEST(spread_test, a_dropped_history_is_read_anew_at_once) {
    fake_store store;
    store.put(record("a"));
    node reader{"entry-1", store};
    reader.start();
    ASSERT_TRUE(eventually([&] { return reader.endpoints() == 1; }));
    store.put(record("b"));
    store.oldest = 1000;
    EXPECT_TRUE(eventually([&] { return reader.endpoints() == 2; }));
    store.declare(6);
    EXPECT_TRUE(eventually([&] { return reader.routing() == 6; }));
    EXPECT_GE(store.snapshots, 2);
}

// Guards against dropping endpoints whose registrations lapsed only because the store was away.
TEST(spread_test, registrations_that_lapse_in_an_outage_are_kept_until_they_can_be_back) {
    fake_store store;
    store.put(record("a"));
    store.put(record("b"));
    node reader{"entry-1", store};
    reader.start();
    ASSERT_TRUE(eventually([&] { return reader.endpoints() == 2; }));
    store.is_down = true;
    store.drop("a");
    store.drop("b");
    std::this_thread::sleep_for(300ms);
    store.is_down = false;
    std::this_thread::sleep_for(400ms);
    EXPECT_EQ(reader.endpoints(), 2U);
    store.put(record("a"));
    EXPECT_TRUE(eventually([&] { return reader.endpoints() == 1; }));
    EXPECT_EQ(reader.shared.current().endpoints->endpoints.front().instance, "a");
    // Nothing is wrong with the store now: a removal counts at once.
    std::this_thread::sleep_for(config::store_recovery_grace);
    const auto begin = std::chrono::steady_clock::now();
    store.drop("a");
    EXPECT_TRUE(eventually([&] { return reader.endpoints() == 0; }));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, config::endpoint_return_time);
}

// Guards against entries that place requests without each other's load.
TEST(spread_test, entries_know_each_others_load) {
    fake_store store;
    node first{"entry-1", store};
    node second{"entry-2", store};
    first.start();
    second.start();
    ASSERT_TRUE(eventually([&] { return second.board.entries() == 2 && first.board.entries() == 2; }));
    const endpoint_digest endpoint = digest_of_instance("a");
    first.board.begin(endpoint);
    first.link.announce_load();
    EXPECT_TRUE(eventually([&] { return second.board.total(endpoint) == 1; }));
}

// Guards against many readers: one process reads for all while its news arrive.
TEST(spread_test, only_the_first_entry_reads) {
    fake_store store;
    fake_store other_store;
    node first{"entry-1", store};
    node second{"entry-2", other_store, true, {first.own.address}};
    first.start();
    ASSERT_TRUE(eventually([&] { return first.routing() == 1; }));
    second.start();
    ASSERT_TRUE(eventually([&] { return second.routing() == 1 && second.link.rank_among_live() == 1; }));
    // Whoever hears nothing for long has to read, so the claim is about a time in which news arrive.
    bool saw_calm_time = false;
    for (int i = 0; i < 5 && !saw_calm_time; ++i) {
        const int snapshots = other_store.snapshots;
        std::chrono::milliseconds oldest{0};
        for (int k = 0; k < 100; ++k) {
            std::this_thread::sleep_for(10ms);
            oldest = std::max(oldest, second.shared.store_age().value_or(1h));
        }
        saw_calm_time = oldest < config::state_stale_time;
        if (saw_calm_time) {
            EXPECT_EQ(other_store.snapshots, snapshots);
        }
    }
    EXPECT_TRUE(saw_calm_time);
}

} // namespace
} // namespace pomelohoist
