#pragma once

#include "common/log.h"
#include "direct/control_store.h"
#include "direct/crash_quarantine.h"
#include "direct/peer_link.h"
#include "direct/store_watcher.h"

#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

/// Processes that distribute routing and endpoints, in the test's process, with an in-memory store.
namespace pomelohoist {

inline endpoint_record record(const std::string& instance) {
    return {instance, "s", {"10.0.0.1", 80}, "dc", 4, false, 0};
}

inline routing_content routing_with_version(std::uint64_t number) {
    routing_content content;
    content.version = number;
    return content;
}

inline bool eventually(const std::function<bool()>& holds) {
    for (int i = 0; i < 300; ++i) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
}

struct store_content {
    std::uint64_t revision{1};
    std::uint64_t routing_revision{1};
    routing_content routing{routing_with_version(1)};
    std::vector<peer_record> peers;
    std::map<std::string, endpoint_record> endpoints;
    std::vector<stored_quarantine> quarantines;
    std::vector<std::pair<std::uint64_t, endpoint_change>> history;
    std::set<std::string> evacuated;
    std::vector<std::pair<std::uint64_t, evacuation_change>> evacuation_history;
};

/// An in-memory store whose contents tests can change. Tests can make it unavailable, compact its history, and restore
/// it from an older copy.
class fake_store : public control_store {
  public:
    result<done> register_peer(const peer_record& own) override {
        ++this->registrations;
        return this->call<done>([&] {
            this->stored.peers.push_back(own);
            return done{};
        });
    }
    result<std::vector<peer_record>> read_peers() override {
        return this->call<std::vector<peer_record>>([&] { return this->stored.peers; });
    }
    result<routing_change> read_routing() override {
        return this->call<routing_change>([&] {
            routing_change change{this->newest(), this->stored.routing};
            for (const std::string& name : this->stored.evacuated) {
                change.evacuations.push_back({name, true});
            }
            return change;
        });
    }
    result<routing_change> watch_routing(const store_revision& after, std::chrono::milliseconds /*wait*/) override {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        if (this->is_dropped(after)) {
            return failure{error_kind::stale_configuration, "gone"};
        }
        return this->call<routing_change>([&] {
            routing_change change{this->newest(), std::nullopt};
            if (this->stored.routing_revision > after.number) {
                change.content = this->stored.routing;
            }
            for (const auto& [at, evacuation] : this->stored.evacuation_history) {
                if (at > after.number) {
                    change.evacuations.push_back(evacuation);
                }
            }
            return change;
        });
    }
    result<endpoint_snapshot> read_endpoints() override {
        ++this->snapshot_reads;
        return this->call<endpoint_snapshot>([&] {
            endpoint_snapshot snapshot{this->newest(), {}};
            for (const auto& [name, content] : this->stored.endpoints) {
                snapshot.endpoints.push_back(content);
            }
            return snapshot;
        });
    }
    result<endpoint_changes> watch_endpoints(const store_revision& after) override {
        if (this->is_dropped(after)) {
            return failure{error_kind::stale_configuration, "gone"};
        }
        return this->call<endpoint_changes>([&] {
            endpoint_changes changes{this->newest(), {}};
            for (const auto& [at, change] : this->stored.history) {
                if (at > after.number) {
                    changes.changes.push_back(change);
                }
            }
            return changes;
        });
    }

    result<std::vector<stored_quarantine>> read_quarantines() override {
        ++this->quarantine_calls;
        if (this->is_quarantine_table_down) {
            return failure{error_kind::store_unavailable, "the table is unavailable"};
        }
        return this->call<std::vector<stored_quarantine>>([&] { return this->stored.quarantines; });
    }
    result<done> write_quarantine(const stored_quarantine& held) override {
        ++this->quarantine_calls;
        if (this->is_quarantine_table_down) {
            return failure{error_kind::store_unavailable, "the table is unavailable"};
        }
        return this->call<done>([&] {
            // One row for each trait: two processes that both act as the reader for a moment write the same row.
            std::erase_if(this->stored.quarantines, [&held](const auto& row) { return row.trait == held.trait; });
            this->stored.quarantines.push_back(held);
            return done{};
        });
    }
    result<done> remove_quarantine(request_trait trait) override {
        return this->call<done>([&] {
            std::erase_if(this->stored.quarantines, [trait](const auto& held) { return held.trait == trait; });
            return done{};
        });
    }

    void put(const endpoint_record& content) {
        const std::lock_guard lock{this->mutex};
        this->stored.endpoints[content.instance] = content;
        this->stored.history.push_back({++this->stored.revision, {content.instance, content}});
    }
    void drop(const std::string& instance) {
        const std::lock_guard lock{this->mutex};
        this->stored.endpoints.erase(instance);
        this->stored.history.push_back({++this->stored.revision, {instance, std::nullopt}});
    }
    void declare(std::uint64_t number) { this->declare(routing_with_version(number)); }
    void declare(routing_content content) {
        const std::lock_guard lock{this->mutex};
        this->stored.routing = std::move(content);
        this->stored.routing_revision = ++this->stored.revision;
    }

    void evacuate(const std::string& data_centre) {
        const std::lock_guard lock{this->mutex};
        this->stored.evacuated.insert(data_centre);
        this->stored.evacuation_history.push_back({++this->stored.revision, {data_centre, true}});
    }
    void take_back(const std::string& data_centre) {
        const std::lock_guard lock{this->mutex};
        this->stored.evacuated.erase(data_centre);
        this->stored.evacuation_history.push_back({++this->stored.revision, {data_centre, false}});
    }

    [[nodiscard]] store_content copy() {
        const std::lock_guard lock{this->mutex};
        return this->stored;
    }
    void restore(store_content older) {
        const std::lock_guard lock{this->mutex};
        this->stored = std::move(older);
        ++this->era;
    }
    [[nodiscard]] bool has_peer(const std::string& name) {
        const std::lock_guard lock{this->mutex};
        return std::any_of(this->stored.peers.begin(), this->stored.peers.end(),
                           [&name](const peer_record& peer) { return peer.name == name; });
    }

    [[nodiscard]] std::size_t quarantine_count() {
        const std::lock_guard lock{this->mutex};
        return this->stored.quarantines.size();
    }

    std::atomic<bool> is_down{false};
    std::atomic<bool> is_quarantine_table_down{false}; ///< calls for quarantines fail; all others succeed
    std::atomic<int> registrations{0};
    std::atomic<int> quarantine_calls{0};
    std::atomic<std::uint64_t> oldest_revision{0};
    std::atomic<int> snapshot_reads{0};

  private:
    template <class T> result<T> call(const std::function<T()>& content) {
        const std::lock_guard lock{this->mutex};
        if (this->is_down) {
            return failure{error_kind::store_unavailable, "down"};
        }
        return content();
    }

    [[nodiscard]] store_revision newest() const { return {this->era, this->stored.revision}; }
    [[nodiscard]] bool is_dropped(const store_revision& after) {
        const std::lock_guard lock{this->mutex};
        return !this->is_down && (after.era != this->era || after.number < this->oldest_revision);
    }

    std::mutex mutex;
    std::uint64_t era{1};
    store_content stored;
};

/// The way of one process to a store that other processes use as well.
class store_path : public control_store {
  public:
    enum class condition : std::uint8_t {
        open,
        refused, ///< calls fail at once
        silent,  ///< calls fail after some time
        count
    };

    explicit store_path(fake_store& target) : store(target) {}

    result<done> register_peer(const peer_record& own) override {
        return this->pass<done>([&] { return this->store.register_peer(own); });
    }
    result<std::vector<peer_record>> read_peers() override {
        return this->pass<std::vector<peer_record>>([&] { return this->store.read_peers(); });
    }
    result<routing_change> read_routing() override {
        return this->pass<routing_change>([&] { return this->store.read_routing(); });
    }
    result<routing_change> watch_routing(const store_revision& after, std::chrono::milliseconds wait) override {
        return this->pass<routing_change>([&] { return this->store.watch_routing(after, wait); });
    }
    result<endpoint_snapshot> read_endpoints() override {
        return this->pass<endpoint_snapshot>([&] { return this->store.read_endpoints(); });
    }
    result<endpoint_changes> watch_endpoints(const store_revision& after) override {
        return this->pass<endpoint_changes>([&] { return this->store.watch_endpoints(after); });
    }
    result<std::vector<stored_quarantine>> read_quarantines() override {
        return this->pass<std::vector<stored_quarantine>>([&] { return this->store.read_quarantines(); });
    }
    result<done> write_quarantine(const stored_quarantine& held) override {
        return this->pass<done>([&] { return this->store.write_quarantine(held); });
    }
    result<done> remove_quarantine(request_trait trait) override {
        return this->pass<done>([&] { return this->store.remove_quarantine(trait); });
    }

    std::atomic<condition> state{condition::open};
    std::atomic<int> failing_calls{0}; ///< number of next calls that are refused

  private:
    template <class T> result<T> pass(const std::function<result<T>()>& call) {
        if (this->state == condition::silent) {
            std::this_thread::sleep_for(std::chrono::milliseconds{300});
        }
        if (this->state != condition::open || this->failing_calls > 0) {
            this->failing_calls = std::max(0, this->failing_calls - 1);
            return failure{error_kind::store_unavailable, "refused"};
        }
        return call();
    }

    fake_store& store;
};

/// Store watcher, peer link and routing state of one process.
class node {
  public:
    node(const std::string& name, control_store& store, bool is_entry = true, std::vector<net_address> seeds = {})
        : own{name, {"127.0.0.1", free_port()}},
          link({this->own, is_entry, std::move(seeds)}, this->state, this->tracker, &this->crashes, &this->statements,
               &this->prompts, nullptr, this->time, this->log),
          watcher(store, this->own, is_entry, this->state, this->link, &this->crashes, &this->statements, this->time,
                  this->log, this->metrics) {}
    ~node() {
        this->watcher.stop();
        this->link.stop();
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start() {
        this->link.start();
        this->watcher.start();
    }
    [[nodiscard]] std::uint64_t routing() const {
        const routing_snapshot snapshot = this->state.current();
        return snapshot.routing ? snapshot.routing->version() : 0;
    }
    [[nodiscard]] std::size_t endpoints() const {
        const routing_snapshot snapshot = this->state.current();
        return snapshot.endpoints ? snapshot.endpoints->endpoints.size() : 0;
    }

    [[nodiscard]] bool is_evacuated(const std::string& data_centre) const {
        return this->state.current().is_evacuated(data_centre);
    }

    static std::uint16_t free_port() {
        const Poco::Net::ServerSocket probe{Poco::Net::SocketAddress{"127.0.0.1", 0}};
        return probe.address().port();
    }

    system_clock time;
    structured_log log{make_null_log()};
    metrics_registry metrics;
    routing_state state{this->time, this->log};
    load_tracker tracker{this->time};
    unread_prompts prompts{this->time};
    crash_quarantine crashes{this->time, this->log, this->metrics};
    endpoint_statements statements{this->time, this->log};
    peer_record own;
    peer_link link;
    store_watcher watcher;
};

} // namespace pomelohoist
