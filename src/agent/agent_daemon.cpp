#include "agent/agent_daemon.h"

#include "agent/agent_handler.h"
#include "agent/operator_service.h"
#include "agent/peer_suspect_publisher.h"
#include "agent/suspect_loader.h"
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
constexpr std::chrono::milliseconds suspect_load_retry_interval{5};
constexpr std::chrono::milliseconds drain_poll_interval{10};

struct agent_settings {
    agent_identity identity;
    net_address inner;
    net_address endpoint;
    net_address platform;
    std::optional<net_address> http; ///< HTTP address for operators and metrics scrapers
    std::vector<net_address> seeds;
    bool is_model{true};
    endpoint_rates rates;
    std::optional<group_settings> group; ///< nothing for an endpoint without a group
};

agent_settings read_settings(const settings& checked) {
    agent_settings parsed;
    parsed.identity = {checked.text("process.name"), checked.text("endpoint.name"), checked.text("process.data_centre"),
                       checked.text("process.host")};
    parsed.inner = checked.address("inner.address");
    parsed.endpoint = checked.address("endpoint.address");
    parsed.platform = checked.address("platform.address");
    if (!checked.text("http.address").empty()) {
        parsed.http = checked.address("http.address");
    }
    parsed.seeds = checked.address_list("peers.seeds");
    parsed.is_model = checked.text("endpoint.kind") == "model";
    parsed.rates = {static_cast<std::uint32_t>(checked.integer("endpoint.slots")),
                    checked.number("endpoint.prefill_tokens_per_ms"), checked.number("endpoint.token_ms")};
    return parsed;
}

/// @returns a number that is different in each process and never 0
std::uint64_t make_incarnation(random_source& random) {
    std::uint64_t number = 0;
    while (number == 0) {
        number = random.next();
    }
    return number;
}

/// Checks the endpoint's health periodically.
class health_poller {
  public:
    health_poller(crash_monitor& endpoint_monitor, suspect_loader& suspect_source, const suspect_list& known_suspects)
        : monitor(endpoint_monitor), loader(suspect_source), suspects(known_suspects),
          thread([this] { this->loop(); }) {}
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
            const bool has_checked = this->check();
            lock.lock();
            this->stopped.wait_for(lock, has_checked ? health_interval : suspect_load_retry_interval,
                                   [this] { return this->stopping; });
        }
    }

    /// @returns false when the suspects could not be loaded yet, so that no health check was run
    // The first health check can make the endpoint ready; quarantined requests must be known before the check.
    bool check() {
        if (!this->suspects.is_complete()) {
            this->loader.load_from_peers();
        }
        if (!this->suspects.is_complete()) {
            return false;
        }
        this->monitor.check();
        return true;
    }

    crash_monitor& monitor;
    suspect_loader& loader;
    const suspect_list& suspects;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping{false};
    std::thread thread;
};

/// Components of a started agent, in construction order.
class running_agent {
  public:
    running_agent(const agent_settings& options, const daemon_context& context,
                  std::unique_ptr<inner::peer_listener> bound_listener,
                  std::unique_ptr<configuration_source> configurations)
        : listener(std::move(bound_listener)), source(std::move(configurations)),
          driver(options.is_model ? make_model_driver(options.endpoint) : make_service_driver(options.endpoint)),
          tickets(context.time, make_incarnation(context.random)), load(context.time, options.rates),
          suspects(context.time), publisher(this->listener->calls(), *this->source, options.identity.endpoint_name),
          loader(*this->source, options.identity.name, options.identity.endpoint_name, this->suspects),
          monitor(*this->driver, this->suspects, this->publisher,
                  options.identity.name + "-" + std::to_string(this->tickets.incarnation()), context.log),
          scheduler(context.time, options.rates.slots, this->tickets, this->load, this->suspects, this->monitor),
          responses(context.time), handler({context, this->tickets, this->scheduler, this->responses, *this->driver,
                                            this->monitor, this->watch, this->gate, *this->source},
                                           options.identity, *this->source, this->suspects),
          operators(this->handler, context.metrics), poller(this->monitor, this->loader, this->suspects) {
        if (options.http) {
            this->server = std::make_unique<http_server>(*options.http, context.time);
            this->server->start(this->operators);
        }
        if (!options.group) {
            this->listener->start(this->handler, this->handler);
            return;
        }
        const member_parts parts{context,    this->listener->calls(), *this->source,
                                 this->gate, options.identity.name,   options.platform};
        this->group = std::make_unique<group_agent>(*options.group, options.identity.endpoint_name,
                                                    this->tickets.incarnation(), parts, this->handler, this->handler);
        this->listener->start(*this->group, *this->group);
    }

    /// @returns the addresses for the ready line of the process
    [[nodiscard]] std::string addresses() const {
        std::string text = "inner=" + this->listener->local_address().to_string();
        if (this->server) {
            text += " http=" + this->server->local_address().to_string();
        }
        if (this->group) {
            text += " step=" + this->group->step_address().to_string();
        }
        return text;
    }

    void stop(const clock& time) {
        this->handler.begin_drain();
        const steady_time deadline = time.now() + config::shutdown_grace;
        while (this->tickets.open_count() > 0 && time.now() < deadline) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        if (this->tickets.open_count() > 0) {
            // Marks the endpoint as not ready, so that queued requests are refused as not run when slots are released.
            this->monitor.on_connection_refused();
            this->watch.abort_all();
        }
        this->listener->stop();
        // The HTTP server is stopped last, so that metrics scrapers see the draining state until the end of the stop.
        if (this->server) {
            this->server->stop();
        }
    }

  private:
    std::unique_ptr<inner::peer_listener> listener;
    std::unique_ptr<configuration_source> source;
    std::unique_ptr<endpoint_driver> driver;
    fencing_gate gate;
    ticket_table tickets;
    load_model load;
    suspect_list suspects;
    peer_suspect_publisher publisher;
    suspect_loader loader;
    crash_monitor monitor;
    run_scheduler scheduler;
    completed_responses responses;
    run_watch watch;
    agent_handler handler;
    operator_service operators;
    std::unique_ptr<http_server> server;
    health_poller poller;
    std::unique_ptr<group_agent> group;
};

class agent_daemon : public daemon {
  public:
    agent_daemon(const settings& checked, const daemon_context& process_context,
                 configuration_source_factory source_factory)
        : options(read_settings(checked)), group(read_group_settings(checked)), context(process_context),
          create_source(std::move(source_factory)) {}

    result<std::string> start() override {
        if (!this->group) {
            return this->group.last_error();
        }
        this->options.group = *this->group;
        try {
            auto listener = std::make_unique<inner::peer_listener>(this->options.inner, this->options.identity.name,
                                                                   this->context.time);
            result<std::unique_ptr<configuration_source>> source =
                this->create_source({this->context, *listener, this->options.identity.name,
                                     this->options.identity.data_centre, this->options.seeds, this->options.platform});
            if (!source) {
                return source.last_error();
            }
            this->running =
                std::make_unique<running_agent>(this->options, this->context, std::move(listener), std::move(*source));
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
    agent_settings options;
    result<std::optional<group_settings>> group;
    daemon_context context;
    configuration_source_factory create_source;
    std::unique_ptr<running_agent> running;
};

} // namespace

settings_schema agent_daemon_factory::schema() const {
    settings_schema schema{
        {"inner.address", setting_type::address, true, "", "address for entries and peers, UDP and TCP", {}},
        {"http.address", setting_type::address, false, "", "address for /healthz, /readyz and /metrics; none: off", {}},
        {"endpoint.name", setting_type::text, true, "", "name of the declared endpoint that this agent serves", {}},
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
    const settings_schema group_settings_schema = group_schema();
    schema.insert(schema.end(), group_settings_schema.begin(), group_settings_schema.end());
    return schema;
}

std::unique_ptr<daemon> agent_daemon_factory::create(const settings& checked, const daemon_context& context) {
    return std::make_unique<agent_daemon>(checked, context, this->create_source);
}

} // namespace pomelohoist
