#include "ranks/rank_daemon.h"

#include "direct/peer_link.h"
#include "direct/store_watcher.h"
#include "ranks/map_coordinator.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

/// The local engine, protected by a mutex. Safe for several threads.
class locked_engine : public rank_engine {
  public:
    explicit locked_engine(std::unique_ptr<rank_engine> connected) : engine(std::move(connected)) {}
    result<rank_state> read_state() override {
        const std::lock_guard lock{this->mutex};
        return this->engine->read_state();
    }
    result<std::vector<std::uint64_t>> read_counts() override {
        const std::lock_guard lock{this->mutex};
        return this->engine->read_counts();
    }
    result<rank_experts> read_experts() override {
        const std::lock_guard lock{this->mutex};
        return this->engine->read_experts();
    }
    command_outcome send_command(const rank_command& command) override {
        const std::lock_guard lock{this->mutex};
        return this->engine->send_command(command);
    }

  private:
    std::mutex mutex;
    std::unique_ptr<rank_engine> engine;
};

/// The ranks of the group that this process coordinates.
class connected_group : public rank_group {
  public:
    /// @param own rank of the local engine
    /// @param local_rank the local engine
    connected_group(std::uint32_t size, std::uint32_t own, rank_engine& local_rank) : ranks(size, nullptr) {
        this->ranks[own] = &local_rank;
    }
    [[nodiscard]] std::uint32_t size() const override { return static_cast<std::uint32_t>(this->ranks.size()); }
    rank_engine& rank(std::uint32_t index) override { return *this->ranks[index]; }
    /// @returns false when the rank is out of range or was added before
    bool add(std::uint32_t rank, std::unique_ptr<rank_engine> remote) {
        if (rank >= this->ranks.size() || this->ranks[rank] != nullptr) {
            return false;
        }
        this->ranks[rank] = remote.get();
        this->remote_ranks.push_back(std::move(remote));
        return true;
    }

  private:
    std::vector<rank_engine*> ranks;
    std::vector<std::unique_ptr<rank_engine>> remote_ranks;
};

class rank_daemon : public daemon, public pause_source {
  public:
    rank_daemon(settings checked, const daemon_context& process, rank_platform& connector)
        : values(std::move(checked)), context(process), platform(connector) {}

    result<std::string> start() override {
        const peer_record own{this->values.text("process.name"), this->values.address("inner.address")};
        try {
            this->routing = std::make_unique<routing_state>(this->context.time, this->context.log);
            this->tracker = std::make_unique<load_tracker>(this->context.time);
            this->engine =
                std::make_unique<locked_engine>(this->platform.connect_engine(this->values.address("engine.address")));
            this->server = std::make_unique<rank_server>(
                *this->engine, static_cast<std::uint64_t>(this->context.time.now().time_since_epoch().count()));
            this->link = std::make_unique<peer_link>(peer_link_options{own, false, this->platform.seeds(this->values)},
                                                     *this->routing, *this->tracker, nullptr, nullptr, nullptr,
                                                     this->server.get(), this->context.time, this->context.log);
        } catch (const Poco::Exception& error) {
            return failure{error_kind::invalid_settings, "the address cannot be bound: " + error.displayText()};
        }
        this->store = this->platform.connect_store(this->values, this->context.log);
        this->watcher =
            std::make_unique<store_watcher>(*this->store, own, false, *this->routing, *this->link, nullptr, nullptr,
                                            this->context.time, this->context.log, this->context.metrics);
        this->link->start();
        this->watcher->start();
        this->thread = std::thread{[this] { this->coordinate_loop(); }};
        return "inner=" + this->values.text("inner.address");
    }

    void stop() override {
        {
            const std::lock_guard lock{this->mutex};
            this->stopping = true;
        }
        this->stopped.notify_all();
        if (this->thread.joinable()) {
            this->thread.join();
        }
        if (this->watcher) {
            this->watcher->stop();
            this->link->stop();
        }
    }

    void reload(const settings& checked) override { this->link->set_seeds(this->platform.seeds(checked)); }

    bool pause(std::uint32_t milliseconds) override {
        std::unique_lock lock{this->mutex};
        this->stopped.wait_for(lock, std::chrono::milliseconds{milliseconds}, [this] { return this->stopping; });
        return !this->stopping;
    }

  private:
    void coordinate_loop() {
        std::chrono::milliseconds wait = config::map_interval;
        while (this->pause(static_cast<std::uint32_t>(wait.count()))) {
            const result<rank_state> own = this->engine->read_state();
            if (own && !own->group.empty()) {
                this->logged_reason.clear();
                this->send_rank_info(*own);
                this->coordinate(*own);
            } else {
                this->on_engine_unreachable(own ? "no group" : own.last_error().reason);
            }
            wait = this->round_interval(own);
        }
    }

    [[nodiscard]] std::chrono::milliseconds round_interval(const result<rank_state>& own) const {
        // Short intervals while the group forms and until its first plan: the entries are notified soon that the group
        // serves again, and streams do not stay long on the unbalanced first map.
        if (!own || !own->is_open || (this->coordinator && this->coordinator->is_forming())) {
            return config::forming_map_interval;
        }
        return this->coordinator ? config::coordination_interval : config::map_interval;
    }

    void coordinate(const rank_state& own) {
        const std::vector<group_peer> peers = this->link->group_peers(own.group);
        const bool is_lowest_rank = std::none_of(
            peers.begin(), peers.end(), [&own](const auto& peer) { return peer.is_live && peer.rank < own.rank; });
        if (!is_lowest_rank) {
            this->stop_coordination();
            return;
        }
        if (!this->coordinator && !this->start_coordination(own, peers)) {
            return;
        }
        if (!this->coordinator->run_once()) {
            this->stop_coordination();
        }
    }

    void send_rank_info(const rank_state& own) {
        const inner::rank_info info{own.group, own.rank, this->values.address("engine.address"), own.is_open,
                                    this->coordinator != nullptr};
        this->send_info(info);
    }

    /// Reports the group as not open: when an engine does not respond, its group has failed or is about to fail.
    void on_engine_unreachable(const std::string& reason) {
        if (this->logged_reason != reason) {
            this->logged_reason = reason;
            this->context.log.info("engine_unreadable", {{"reason", reason}});
        }
        if (this->sent_info) {
            inner::rank_info info = *this->sent_info;
            info.is_open = false;
            this->send_info(info);
        }
    }

    void send_info(const inner::rank_info& info) {
        if (this->sent_info != info) {
            this->sent_info = info;
            this->link->set_rank(info);
            this->link->send_update();
        }
    }

    /// Becomes the group's coordinator, once all ranks of the group are known.
    /// @returns false when the shape or a rank of the group is unknown, the peers' ranks are not all valid and
    /// different, or no fencing token was acquired
    bool start_coordination(const rank_state& own, const std::vector<group_peer>& peers) {
        const std::optional<expert_shape> shape = this->find_shape(own.ranks);
        if (!shape || own.rank >= own.ranks || peers.size() + 1 != own.ranks) {
            return false;
        }
        const result<std::uint64_t> fence =
            this->platform.acquire_fencing_token(this->values, own.group, this->values.text("process.name"));
        if (!fence) {
            this->context.log.warn("fencing_token_not_acquired",
                                   {{"group", own.group}, {"reason", fence.last_error().reason}});
            return false;
        }
        auto ranks = std::make_unique<connected_group>(own.ranks, own.rank, *this->engine);
        for (const group_peer& peer : peers) {
            if (!ranks->add(peer.rank,
                            std::make_unique<remote_rank>(this->values.text("process.name"), peer.address, peer.engine,
                                                          this->platform, this->context.time))) {
                return false;
            }
        }
        this->group = std::move(ranks);
        this->switcher = std::make_unique<map_switcher>(*this->group, (own.rank + 1) % own.ranks, this->sweep, *this,
                                                        this->context.time, this->context.log);
        this->switcher->take_over(*fence);
        map_policy policy;
        policy.max_new = this->max_new;
        policy.copy_time = this->copy_time;
        this->coordinator =
            std::make_unique<map_coordinator>(*this->group, this->sweep, *this->switcher, *shape, policy,
                                              this->context.time, this->context.log, this->context.metrics);
        this->context.log.info("coordination_started", {{"group", own.group}, {"fence", std::to_string(*fence)}});
        this->send_rank_info(own);
        return true;
    }

    void stop_coordination() {
        if (this->coordinator) {
            this->context.log.info("coordination_ended", {{"fence", std::to_string(this->switcher->fence())}});
        }
        this->coordinator.reset();
        this->switcher.reset();
        this->group.reset();
    }

    /// Looks up the shape of the group in the service's declaration, and sets `max_new` and `copy_time`.
    /// @returns nothing when the service is unknown or declares no experts
    std::optional<expert_shape> find_shape(std::uint32_t ranks) {
        const routing_snapshot snapshot = this->routing->current();
        const service* own =
            snapshot.routing ? snapshot.routing->find_service(this->values.text("engine.service")) : nullptr;
        if (own == nullptr || !own->experts) {
            return std::nullopt;
        }
        this->max_new = own->experts->max_new;
        this->copy_time = std::chrono::microseconds{own->experts->copy_us};
        return expert_shape{ranks, own->experts->experts, own->experts->layers, own->experts->slots_per_rank};
    }

    const settings values;
    const daemon_context context;
    rank_platform& platform;
    std::unique_ptr<routing_state> routing;
    std::unique_ptr<load_tracker> tracker;
    std::unique_ptr<locked_engine> engine;
    std::unique_ptr<rank_server> server;
    std::unique_ptr<peer_link> link;
    std::unique_ptr<control_store> store;
    std::unique_ptr<store_watcher> watcher;
    std::optional<inner::rank_info> sent_info;
    std::string logged_reason;   ///< last logged reason; empty while the engine responds
    std::uint32_t max_new{0};    ///< experts of a layer that one plan may add to a rank; set by `find_shape`
    seconds_span copy_time{0.0}; ///< time in which a rank copies one expert; set by `find_shape`
    parallel_sweep sweep;
    std::unique_ptr<connected_group> group;
    std::unique_ptr<map_switcher> switcher;
    std::unique_ptr<map_coordinator> coordinator;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::thread thread;
};

} // namespace

settings_schema rank_daemon_factory::schema() const {
    settings_schema own{
        {"inner.address", setting_type::address, true, "", "address for other processes, UDP and TCP", {}},
        {"engine.address", setting_type::address, true, "", "address of the local engine", {}},
        {"engine.service", setting_type::text, true, "", "service that the engine belongs to", {}},
    };
    const settings_schema platform_settings = this->platform.schema();
    own.insert(own.end(), platform_settings.begin(), platform_settings.end());
    return own;
}

std::unique_ptr<daemon> rank_daemon_factory::create(const settings& checked, const daemon_context& context) {
    return std::make_unique<rank_daemon>(checked, context, this->platform);
}

} // namespace pomelohoist
