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

/// The engine beside this process, for several threads.
class shared_engine : public rank_engine {
  public:
    explicit shared_engine(std::unique_ptr<rank_engine> connected) : engine(std::move(connected)) {}
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
    command_outcome send_command(const rank_command& order) override {
        const std::lock_guard lock{this->mutex};
        return this->engine->send_command(order);
    }

  private:
    std::mutex mutex;
    std::unique_ptr<rank_engine> engine;
};

/// The ranks of the group that this process coordinates.
class reached_group : public rank_group {
  public:
    /// @param beside the engine beside this process, whose rank is `own`
    reached_group(std::uint32_t size, std::uint32_t own, rank_engine& beside) : ranks(size, nullptr) {
        this->ranks[own] = &beside;
    }
    [[nodiscard]] std::uint32_t size() const override { return static_cast<std::uint32_t>(this->ranks.size()); }
    rank_engine& rank(std::uint32_t index) override { return *this->ranks[index]; }
    /// @returns false when the rank is not one of the group, or is there already
    bool add(std::uint32_t rank, std::unique_ptr<rank_engine> reached) {
        if (rank >= this->ranks.size() || this->ranks[rank] != nullptr) {
            return false;
        }
        this->ranks[rank] = reached.get();
        this->others.push_back(std::move(reached));
        return true;
    }

  private:
    std::vector<rank_engine*> ranks;
    std::vector<std::unique_ptr<rank_engine>> others;
};

class rank_daemon : public daemon, public pause_source {
  public:
    rank_daemon(settings checked, const daemon_context& process, rank_platform& connector)
        : values(std::move(checked)), context(process), platform(connector) {}

    result<std::string> start() override {
        const peer_record own{this->values.text("process.name"), this->values.address("inner.address")};
        try {
            this->shared = std::make_unique<routing_state>(this->context.time, this->context.log);
            this->board = std::make_unique<load_tracker>(this->context.time);
            this->engine =
                std::make_unique<shared_engine>(this->platform.connect_engine(this->values.address("engine.address")));
            this->server = std::make_unique<rank_server>(*this->engine);
            this->link = std::make_unique<peer_link>(peer_link_options{own, false, this->platform.seeds(this->values)},
                                                     *this->shared, *this->board, this->server.get(),
                                                     this->context.time, this->context.log);
        } catch (const Poco::Exception& error) {
            return failure{error_kind::invalid_settings, "the address cannot be bound: " + error.displayText()};
        }
        this->store = this->platform.connect_store(this->values, this->context.log);
        this->follower = std::make_unique<store_watcher>(*this->store, own, false, *this->shared, *this->link,
                                                         this->context.time, this->context.log, this->context.metrics);
        this->link->start();
        this->follower->start();
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
        if (this->follower) {
            this->follower->stop();
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
                this->unreadable.clear();
                this->note_rank(*own);
                this->coordinate(*own);
            } else {
                this->note_unreachable(own ? "no group" : own.last_error().reason);
            }
            // The entries should hear soon that the group serves again.
            const bool is_forming = !own || !own->is_open || (this->coordinator && this->coordinator->is_forming());
            wait = is_forming ? config::forming_map_interval : config::map_interval;
        }
    }

    void coordinate(const rank_state& own) {
        const std::vector<group_peer> peers = this->link->group_peers(own.group);
        const bool is_first = std::none_of(peers.begin(), peers.end(),
                                           [&own](const auto& peer) { return peer.is_live && peer.rank < own.rank; });
        if (!is_first) {
            this->end_term();
            return;
        }
        if (!this->coordinator && !this->begin_term(own, peers)) {
            return;
        }
        if (!this->coordinator->run_once()) {
            this->end_term();
        }
    }

    void note_rank(const rank_state& own) {
        const inner::rank_info note{own.group, own.rank, this->values.address("engine.address"), own.is_open,
                                    this->coordinator != nullptr};
        this->tell(note);
    }

    /// The group of an engine that does not answer is broken, or is about to be.
    void note_unreachable(const std::string& reason) {
        if (this->unreadable != reason) {
            this->unreadable = reason;
            this->context.log.info("engine_unreadable", {{"reason", reason}});
        }
        if (this->noted) {
            inner::rank_info note = *this->noted;
            note.is_open = false;
            this->tell(note);
        }
    }

    void tell(const inner::rank_info& note) {
        if (this->noted != note) {
            this->noted = note;
            this->link->set_rank(note);
            this->link->send_update();
        }
    }

    /// Begins to coordinate, once all ranks of the group are known.
    bool begin_term(const rank_state& own, const std::vector<group_peer>& peers) {
        const std::optional<expert_shape> shape = this->find_shape(own.ranks);
        if (!shape || own.rank >= own.ranks || peers.size() + 1 != own.ranks) {
            return false;
        }
        const result<std::uint64_t> fence =
            this->platform.acquire_fencing_token(this->values, own.group, this->values.text("process.name"));
        if (!fence) {
            this->context.log.warn("fence_not_taken", {{"group", own.group}, {"reason", fence.last_error().reason}});
            return false;
        }
        auto ranks = std::make_unique<reached_group>(own.ranks, own.rank, *this->engine);
        for (const group_peer& peer : peers) {
            if (!ranks->add(peer.rank,
                            std::make_unique<remote_rank>(this->values.text("process.name"), peer.address, peer.engine,
                                                          this->platform, this->context.time))) {
                return false;
            }
        }
        this->group = std::move(ranks);
        this->switcher = std::make_unique<map_switcher>(*this->group, this->sweep, *this, this->context.log);
        this->switcher->take_over(*fence);
        map_policy policy;
        policy.max_new = this->max_new;
        this->coordinator =
            std::make_unique<map_coordinator>(*this->group, this->sweep, *this->switcher, *shape, policy,
                                              this->context.time, this->context.log, this->context.metrics);
        this->context.log.info("coordination_begun", {{"group", own.group}, {"fence", std::to_string(*fence)}});
        this->note_rank(own);
        return true;
    }

    void end_term() {
        if (this->coordinator) {
            this->context.log.info("coordination_ended", {{"fence", std::to_string(this->switcher->fence())}});
        }
        this->coordinator.reset();
        this->switcher.reset();
        this->group.reset();
    }

    std::optional<expert_shape> find_shape(std::uint32_t ranks) {
        const routing_snapshot seen = this->shared->current();
        const service* own = seen.routing ? seen.routing->find_service(this->values.text("engine.service")) : nullptr;
        if (own == nullptr || !own->experts) {
            return std::nullopt;
        }
        this->max_new = own->experts->max_new;
        return expert_shape{ranks, own->experts->experts, own->experts->layers, own->experts->slots_per_rank};
    }

    const settings values;
    const daemon_context context;
    rank_platform& platform;
    std::unique_ptr<routing_state> shared;
    std::unique_ptr<load_tracker> board;
    std::unique_ptr<shared_engine> engine;
    std::unique_ptr<rank_server> server;
    std::unique_ptr<peer_link> link;
    std::unique_ptr<control_store> store;
    std::unique_ptr<store_watcher> follower;
    std::optional<inner::rank_info> noted;
    std::string unreadable; ///< reason that was logged last; empty while the engine answers
    std::uint32_t max_new{0};
    parallel_sweep sweep;
    std::unique_ptr<reached_group> group;
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
        {"engine.address", setting_type::address, true, "", "address of the engine beside this process", {}},
        {"engine.service", setting_type::text, true, "", "service that the engine belongs to", {}},
    };
    const settings_schema more = this->platform.schema();
    own.insert(own.end(), more.begin(), more.end());
    return own;
}

std::unique_ptr<daemon> rank_daemon_factory::create(const settings& checked, const daemon_context& context) {
    return std::make_unique<rank_daemon>(checked, context, this->platform);
}

} // namespace pomelohoist
