#include "direct/direct_daemon.h"

#include "direct/caller_server.h"
#include "direct/direct_service.h"
#include "direct/peer_link.h"
#include "direct/store_watcher.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>

#include <thread>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_unavailable = 503;

retry_limits read_retry_limits(const settings& checked) {
    return {checked.number("retries.ratio"), checked.number("retries.slack"), checked.duration("retries.window_ms")};
}

cold_bound read_cold_bound(const settings& checked) {
    return {checked.number("cold_endpoints.excess"), checked.number("cold_endpoints.slack")};
}

/// All parts of the process. A part depends only on parts declared before it.
struct direct_parts {
    direct_parts(const settings& checked, const daemon_context& context, direct_platform& platform)
        : own{checked.text("process.name"), checked.address("inner.address")}, state(context.time, context.log),
          tracker(context.time), prompts(context.time), crashes(context.time, context.log, context.metrics),
          statements(context.time, context.log), store(platform.connect_store(checked, context.log)),
          link({own, true, platform.seeds(checked)}, state, tracker, &crashes, &statements, &prompts, nullptr,
               context.time, context.log),
          watcher(*store, own, true, state, link, &crashes, &statements, context.time, context.log, context.metrics),
          cooldowns(context.time), cold(read_cold_bound(checked), context.time), capacity(context.time),
          levels(context.time), budget(read_retry_limits(checked), context.time), connections(context.time),
          buffers(config::response_buffer_bytes), prober(config::endpoint_probe_timeout),
          lost_runs(prober, state, crashes, link, context.time, context.log, context.metrics),
          reporter(prober, crashes, lost_runs, link, context.time, context.log, context.metrics),
          admission(state, tracker, prompts, link, cooldowns, statements, cold, capacity, context.random, context.time),
          forwarding{platform.headers(),
                     admission,
                     connections,
                     cooldowns,
                     budget,
                     buffers,
                     tracker,
                     context.random,
                     context.time,
                     context.log,
                     context.metrics,
                     reporter,
                     statements,
                     capacity,
                     levels},
          service(forwarding, state), server(checked.address("http.address"), service, state, context.time) {}

    const peer_record own;
    routing_state state;
    load_tracker tracker;
    unread_prompts prompts;
    crash_quarantine crashes;
    endpoint_statements statements;
    std::unique_ptr<control_store> store;
    peer_link link;
    store_watcher watcher;
    cooldown_tracker cooldowns;
    cold_start_limit cold;
    stream_capacity capacity;
    importance_levels levels;
    shared_retry_budget budget;
    connection_pool connections;
    buffer_budget buffers;
    tcp_endpoint_prober prober;
    lost_run_monitor lost_runs;
    crash_reporter reporter;
    admission_queue admission;
    forwarding_parts forwarding;
    direct_service service;
    caller_server server;
};

class direct_daemon : public daemon {
  public:
    direct_daemon(settings checked, const daemon_context& process, direct_platform& connector)
        : values(std::move(checked)), context(process), platform(connector) {}

    result<std::string> start() override {
        try {
            this->parts = std::make_unique<direct_parts>(this->values, this->context, this->platform);
            this->parts->link.start();
            this->parts->watcher.start();
            this->parts->server.start();
            this->readiness = std::make_unique<page_server>(
                this->values.address("http.ready_address"), [this] { return this->render_readiness(); },
                this->context.time);
            this->metrics = std::make_unique<page_server>(
                this->values.address("http.metrics_address"), [this] { return this->render_metrics(); },
                this->context.time);
        } catch (const Poco::Exception& error) {
            return failure{error_kind::invalid_settings, "the address cannot be bound: " + error.displayText()};
        }
        return "inner=" + this->values.text("inner.address") + " http=" + this->values.text("http.address");
    }

    void stop() override {
        if (!this->parts) {
            return;
        }
        this->is_stopping = true;
        this->parts->server.begin_closing();
        // New connections arrive until two readiness checks of the platform's load balancer have found that this entry
        // is not ready.
        const steady_time begin = this->context.time.now();
        const steady_time time_limit = begin + this->values.duration("process.grace_ms") - config::stop_margin;
        while (this->context.time.now() < time_limit) {
            const bool is_out_of_rotation = this->context.time.now() - begin >= config::rotation_time;
            if (is_out_of_rotation) {
                // A request that arrives now on a keep-alive connection may not end before the process stops; other
                // entries can still serve it.
                this->parts->service.refuse_all();
            }
            if (is_out_of_rotation && this->parts->service.active() == 0) {
                break;
            }
            std::this_thread::sleep_for(config::stop_check_interval);
        }
        if (this->parts->service.active() > 0) {
            this->context.log.warn("stopped_with_open_requests",
                                   {{"active", std::to_string(this->parts->service.active())}});
        }
        this->parts->watcher.stop();
        this->parts->link.stop();
    }

    void reload(const settings& checked) override { this->parts->link.set_seeds(this->platform.seeds(checked)); }

  private:
    full_response render_readiness() {
        const routing_snapshot snapshot = this->parts->state.current();
        const bool is_ready = !this->is_stopping && snapshot.routing && snapshot.endpoints;
        return {is_ready ? status_ok : status_unavailable,
                {{"Content-Type", "text/plain"}},
                is_ready ? "ready\n" : "not ready\n"};
    }

    full_response render_metrics() {
        return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, this->context.metrics.render()};
    }

    const settings values;
    const daemon_context context;
    direct_platform& platform;
    std::atomic<bool> is_stopping{false};
    std::unique_ptr<direct_parts> parts;
    std::unique_ptr<page_server> readiness;
    std::unique_ptr<page_server> metrics;
};

} // namespace

settings_schema direct_daemon_factory::schema() const {
    settings_schema own{
        {"process.grace_ms", setting_type::duration_ms, false, "8000", "time from SIGTERM to the end", {}},
        {"http.address", setting_type::address, true, "", "address for callers", {}},
        {"http.ready_address", setting_type::address, true, "", "address of the readiness page", {}},
        {"http.metrics_address", setting_type::address, true, "", "address of the metrics page", {}},
        {"inner.address", setting_type::address, true, "", "address for other processes, UDP and TCP", {}},
        {"retries.ratio", setting_type::number, false, "0.2", "retries allowed for each request", {}, 0.0},
        {"retries.slack",
         setting_type::number,
         false,
         "10",
         "retries allowed beyond the ratio, of all entries "
         "together in one window",
         {},
         0.0},
        {"cold_endpoints.excess",
         setting_type::number,
         false,
         "0",
         "bound of the requests to a cold endpoint in one second, as a multiple of its rate; 0: not limited",
         {},
         0.0},
        {"cold_endpoints.slack", setting_type::number, false, "0", "requests beyond that multiple", {}, 0.0},
        {"retries.window_ms", setting_type::duration_ms, false, "10000", "window of the limit on retries", {}},
    };
    const settings_schema platform_schema = this->platform.schema();
    own.insert(own.end(), platform_schema.begin(), platform_schema.end());
    return own;
}

std::unique_ptr<daemon> direct_daemon_factory::create(const settings& checked, const daemon_context& context) {
    return std::make_unique<direct_daemon>(checked, context, this->platform);
}

} // namespace pomelohoist
