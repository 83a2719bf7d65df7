#include "entry/entry_daemon.h"

#include "entry/entry_service.h"
#include "entry/http_server.h"
#include "entry/peer_handler.h"
#include "inner/peer_listener.h"

#include <pomelohoist/config.h>

#include <Poco/Exception.h>

#include <csignal>
#include <utility>

namespace pomelohoist {

namespace {

/// The objects that serve requests; created when the platform is connected.
struct entry_parts {
    entry_parts(const std::string& name, const std::string& data_centre, const daemon_context& context,
                inner::datagram_endpoint& calls, entry_platform connected)
        : platform(std::move(connected)), policy(make_candidate_policy(routing_policy::affinity, context.random)),
          ranking(make_offer_ranking()), cooldowns(context.time), canceller(calls), suspects(calls),
          budget(context.random), tickets(context, calls, *this->platform.configurations, *this->policy, *this->ranking,
                                          this->cooldowns, this->canceller),
          runner(context, name, *this->platform.configurations, this->cooldowns, this->canceller, this->suspects,
                 this->callers),
          services{context, this->tickets, this->runner, this->canceller, this->budget}, plain(this->services),
          claimed(this->services, name, *this->platform.claims),
          service(this->services, *this->platform.configurations, this->plain, this->claimed, this->gate),
          peers(name, data_centre, *this->platform.configurations, this->gate) {}

    entry_platform platform;
    std::unique_ptr<candidate_policy> policy;
    std::unique_ptr<offer_ranking> ranking;
    cooldown_list cooldowns;
    ticket_canceller canceller;
    suspect_reporter suspects;
    caller_monitor callers;
    retry_budget budget;
    service_gate gate;
    reserver tickets;
    attempt_runner runner;
    forward_services services;
    forwarder plain;
    claimed_forwarder claimed;
    entry_service service;
    peer_handler peers;
};

class entry_daemon : public daemon {
  public:
    entry_daemon(settings checked, const daemon_context& process, entry_platform_factory& connector)
        : values(std::move(checked)), context(process), factory(connector) {}

    result<std::string> start() override {
        // A connection closed by a caller or agent is reported as an error of the write; SIGPIPE would end the process.
        std::signal(SIGPIPE, SIG_IGN);
        const std::string& name = this->values.text("process.name");
        try {
            this->listener =
                std::make_unique<inner::peer_listener>(this->values.address("inner.address"), name, this->context.time);
            this->server = std::make_unique<http_server>(this->values.address("http.address"), this->context.time);
        } catch (const Poco::Exception& error) {
            return failure{error_kind::invalid_settings, "the address cannot be bound: " + error.displayText()};
        }
        result<entry_platform> connected =
            this->factory.connect(this->values, this->context, this->listener->calls(),
                                  entry_addresses{this->listener->local_address(), this->server->local_address()});
        if (!connected) {
            return connected.last_error();
        }
        this->parts = std::make_unique<entry_parts>(name, this->values.text("process.data_centre"), this->context,
                                                    this->listener->calls(), std::move(*connected));
        this->listener->start(this->parts->peers, this->parts->peers);
        this->server->start(this->parts->service);
        return "inner=" + this->listener->local_address().to_string() +
               " http=" + this->server->local_address().to_string();
    }

    void stop() override {
        if (!this->parts) {
            return;
        }
        this->parts->gate.close();
        if (!this->parts->gate.wait_idle(config::shutdown_grace)) {
            this->context.log.warn("stopped_with_open_requests",
                                   {{"active", std::to_string(this->parts->gate.active())}});
        }
        this->parts->gate.wait_quiet(config::drain_quiet_time, config::drain_quiet_limit);
        this->server->stop();
        this->listener->stop();
    }

  private:
    settings values;
    const daemon_context context;
    entry_platform_factory& factory;
    std::unique_ptr<inner::peer_listener> listener;
    std::unique_ptr<http_server> server;
    std::unique_ptr<entry_parts> parts;
};

} // namespace

settings_schema entry_daemon_factory::schema() const {
    return {
        {"http.address", setting_type::address, true, "", "address for callers; port 0 lets the system choose", {}},
        {"inner.address", setting_type::address, true, "", "address for other processes, UDP and TCP", {}},
        {"platform.address", setting_type::address, true, "", "address of the platform's services", {}},
        {"peers.seeds", setting_type::address_list, false, "", "inner addresses to learn the configuration from", {}},
    };
}

std::unique_ptr<daemon> entry_daemon_factory::create(const settings& checked, const daemon_context& context) {
    return std::make_unique<entry_daemon>(checked, context, this->platform);
}

} // namespace pomelohoist
