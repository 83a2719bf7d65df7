#include "agent/agent_daemon.h"

#include "agent/agent_handler.h"
#include "agent/operator_service.h"
#include "agent/peer_suspect_publisher.h"
#include "agent/suspect_learner.h"
#include "group/group_agent.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::chrono::milliseconds health_interval{200};
constexpr double smallest_rate = 0.001;
constexpr std::chrono::milliseconds learn_interval{5};
constexpr std::chrono::milliseconds drain_poll_interval{10};

/// The settings of an agent.
struct agent_settings {
    agent_identity identity;
    net_address inner;
    net_address endpoint;
    net_address platform;
    std::optional<net_address> http; ///< for operators and scrapers
    std::vector<net_address> seeds;
    bool is_model{true};
    endpoint_rates rates;
    std::optional<group_settings> group; ///< nothing for an endpoint without a group
};

agent_settings read_settings(const settings& checked) {
    agent_settings read;
    read.identity = {checked.text("process.name"), checked.text("endpoint.name"), checked.text("process.data_centre"),
                     checked.text("process.host")};
    read.inner = checked.address("inner.address");
    read.endpoint = checked.address("endpoint.address");
    read.platform = checked.address("platform.address");
    if (!checked.text("http.address").empty()) {
        read.http = checked.address("http.address");
    }
    read.seeds = checked.address_list("peers.seeds");
    read.is_model = checked.text("endpoint.kind") == "model";
    read.rates = {static_cast<std::uint32_t>(checked.integer("endpoint.slots")),
                  checked.number("endpoint.prefill_tokens_per_ms"), checked.number("endpoint.token_ms")};
    return read;
}

/// @returns a number that is different in each process and never 0
std::uint64_t make_incarnation(random_source& random) {
    std::uint64_t number = 0;
    while (number == 0) {
        number = random.next();
    }
    return number;
}

/// Checks the endpoint's health in intervals.
class health_poller {
  public:
    health_poller(crash_monitor& polled, suspect_learner& suspect_source, const suspect_list& known_suspects)
        : monitor(polled), learner(suspect_source), suspects(known_suspects), thread([this] { this->loop(); }) {}
    ~health_poller() {
        {
            const std::lock_guard lock{this->mutex};
            this->stopping = true;
        }
        this->stopped.notify_all();
        this->thread.join();
    }
    health_poller(const health_poller&) = delete;
    health_poller& operator=(const health_poller&) = delete;

  private:
    void loop() {
        std::unique_lock lock{this->mutex};
        while (!this->stopping) {
            lock.unlock();
            const bool checked = this->check();
            lock.lock();
            this->stopped.wait_for(lock, checked ? health_interval : learn_interval, [this] { return this->stopping; });
        }
    }

    // The endpoint becomes ready by its first check. Before that, the agent must know which requests it may not run.
    bool check() {
        if (!this->suspects.is_complete()) {
            this->learner.learn();
        }
        if (!this->suspects.is_complete()) {
            return false;
        }
        this->monitor.check();
        return true;
    }

    crash_monitor& monitor;
    suspect_learner& learner;
    const suspect_list& suspects;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::thread thread;
};

/// Everything that a started agent consists of, in the order of construction.
class running_agent {
  public:
    running_agent(const agent_settings& chosen, const daemon_context& context,
                  std::unique_ptr<inner::peer_listener> bound, std::unique_ptr<configuration_source> configurations)
        : listener(std::move(bound)), source(std::move(configurations)),
          driver(chosen.is_model ? make_model_driver(chosen.endpoint) : make_service_driver(chosen.endpoint)),
          tickets(context.time, make_incarnation(context.random)), load(context.time, chosen.rates),
          suspects(context.time), publisher(this->listener->calls(), *this->source, chosen.identity.endpoint_name),
          learner(*this->source, chosen.identity.name, chosen.identity.endpoint_name, this->suspects),
          monitor(*this->driver, this->suspects, this->publisher,
                  chosen.identity.name + "-" + std::to_string(this->tickets.incarnation()), context.log),
          scheduler(context.time, chosen.rates.slots, this->tickets, this->load, this->suspects, this->monitor),
          answers(context.time), handler({context, this->tickets, this->scheduler, this->answers, *this->driver,
                                          this->monitor, this->watch, this->orders, *this->source},
                                         chosen.identity, *this->source, this->suspects),
          operators(this->handler, context.metrics), poller(this->monitor, this->learner, this->suspects) {
        if (chosen.http) {
            this->front = std::make_unique<http_server>(*chosen.http, context.time);
            this->front->start(this->operators);
        }
        if (!chosen.group) {
            this->listener->start(this->handler, this->handler);
            return;
        }
        const member_parts parts{context,      this->listener->calls(), *this->source,
                                 this->orders, chosen.identity.name,    chosen.platform};
        this->group = std::make_unique<group_agent>(*chosen.group, chosen.identity.endpoint_name,
                                                    this->tickets.incarnation(), parts, this->handler, this->handler);
        this->listener->start(*this->group, *this->group);
    }

    /// @returns the addresses for the line that tells that the process is ready
    [[nodiscard]] std::string addresses() const {
        std::string text = "inner=" + this->listener->local_address().to_string();
        if (this->front) {
            text += " http=" + this->front->local_address().to_string();
        }
        if (this->group) {
            text += " step=" + this->group->step_address().to_string();
        }
        return text;
    }

    void stop(const clock& time) {
        this->handler.begin_drain();
        const steady_time give_up = time.now() + config::shutdown_grace;
        while (this->tickets.open_count() > 0 && time.now() < give_up) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        if (this->tickets.open_count() > 0) {
            // What is still queued is refused as not run when the slots are released.
            this->monitor.connection_refused();
            this->watch.abort_all();
        }
        this->listener->stop();
        // Scrapers see the drain until the end.
        if (this->front) {
            this->front->stop();
        }
    }

  private:
    std::unique_ptr<inner::peer_listener> listener;
    std::unique_ptr<configuration_source> source;
    std::unique_ptr<endpoint_driver> driver;
    fencing_gate orders;
    ticket_table tickets;
    load_model load;
    suspect_list suspects;
    peer_suspect_publisher publisher;
    suspect_learner learner;
    crash_monitor monitor;
    run_scheduler scheduler;
    completed_answers answers;
    run_watch watch;
    agent_handler handler;
    operator_service operators;
    std::unique_ptr<http_server> front;
    health_poller poller;
    std::unique_ptr<group_agent> group;
};

class agent_daemon : public daemon {
  public:
    agent_daemon(const settings& checked, const daemon_context& host, source_maker maker)
        : chosen(read_settings(checked)), group(read_group_settings(checked)), context(host),
          make_source(std::move(maker)) {}

    result<std::string> start() override {
        if (!this->group) {
            return this->group.last_error();
        }
        this->chosen.group = *this->group;
        try {
            auto listener = std::make_unique<inner::peer_listener>(this->chosen.inner, this->chosen.identity.name,
                                                                   this->context.time);
            result<std::unique_ptr<configuration_source>> source =
                this->make_source({this->context, *listener, this->chosen.identity.name,
                                   this->chosen.identity.data_centre, this->chosen.seeds, this->chosen.platform});
            if (!source) {
                return source.last_error();
            }
            this->running =
                std::make_unique<running_agent>(this->chosen, this->context, std::move(listener), std::move(*source));
            return this->running->addresses();
        } catch (const Poco::Exception& error) {
            return failure{error_kind::invalid_settings,
                           "inner.address, http.address or group.step_address: " + error.displayText()};
        }
    }

    void stop() override {
        if (this->running) {
            this->running->stop(this->context.time);
            this->running.reset();
        }
    }

  private:
    agent_settings chosen;
    result<std::optional<group_settings>> group;
    daemon_context context;
    source_maker make_source;
    std::unique_ptr<running_agent> running;
};

} // namespace

settings_schema agent_daemon_factory::schema() const {
    settings_schema schema{
        {"inner.address", setting_type::address, true, "", "address for entries and peers, UDP and TCP", {}},
        {"http.address", setting_type::address, false, "", "address for /healthz, /readyz and /metrics; none: off", {}},
        {"endpoint.name", setting_type::text, true, "", "name of the declared endpoint beside this agent", {}},
        {"endpoint.kind", setting_type::choice, false, "model", "kind of the endpoint", {"model", "service"}},
        {"endpoint.address", setting_type::address, true, "", "HTTP address of the endpoint", {}},
        {"endpoint.slots", setting_type::integer, false, "8", "requests that the endpoint runs at once", {}, 1},
        {"endpoint.prefill_tokens_per_ms",
         setting_type::number,
         false,
         "10",
         "prompt tokens per millisecond",
         {},
         smallest_rate},
        {"endpoint.token_ms", setting_type::number, false, "20", "milliseconds per output token", {}, 0},
        {"peers.seeds", setting_type::address_list, false, "", "inner addresses of other processes", {}},
        {"platform.address", setting_type::address, true, "", "address of the platform's services", {}},
    };
    const settings_schema of_group = group_schema();
    schema.insert(schema.end(), of_group.begin(), of_group.end());
    return schema;
}

std::unique_ptr<daemon> agent_daemon_factory::create(const settings& checked, const daemon_context& context) {
    return std::make_unique<agent_daemon>(checked, context, this->make_source);
}

} // namespace pomelohoist
