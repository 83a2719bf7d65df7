#pragma once

#include "common/log.h"
#include "direct/caller_server.h"
#include "direct/direct_service.h"
#include "direct/peer_link.h"
#include "platform_headers.h"
#include "support/http_client.h"
#include "support/scripted_endpoint.h"

#include <pomelohoist/config.h>

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

/// An entry with direct forwarding, in the test's process, with scripted endpoints.
namespace pomelohoist {

inline route test_route(const std::string& prefix, retry_policy retry, std::uint32_t max_endpoints) {
    route declared;
    declared.name = prefix;
    declared.host = "h.example";
    declared.prefix = prefix;
    declared.retry = retry;
    declared.targets = {{"s", 1}};
    declared.timeout_ms = 2000;
    declared.latency_target_ms = 100;
    declared.importance = 2;
    declared.max_endpoints = max_endpoints;
    declared.can_resume = retry == retry_policy::stream;
    return declared;
}

inline routing_content test_routing(std::uint64_t version) {
    routing_content content;
    content.version = version;
    content.routes = {test_route("/safe/", retry_policy::safe, 2), test_route("/unsafe/", retry_policy::unsafe, 1),
                      test_route("/stream/", retry_policy::stream, 2)};
    content.services = {{"s", 100, std::nullopt}};
    content.workspaces = std::vector<workspace_keys>{{"w", {"key-1"}, 1}};
    return content;
}

class direct_entry {
  public:
    /// @param inner_address address for other entries; only entries that are connected need one with a port
    explicit direct_entry(const std::vector<net_address>& endpoints, std::string entry_name = "entry",
                          net_address inner_address = {"127.0.0.1", 0})
        : name(std::move(entry_name)), inner(std::move(inner_address)) {
        endpoint_list list{1, {}};
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            list.endpoints.push_back({"i-" + std::to_string(i), "s", endpoints[i], "dc", 4, false, 0});
        }
        this->state.apply_routing(test_routing(3));
        this->state.apply_endpoints(list);
        this->server.start();
    }

    test_support::http_response call(const std::string& method, const std::string& path, const std::string& body = "",
                                     std::map<std::string, std::string> extra_headers = {},
                                     const test_support::body_sink& sink = {}) {
        test_support::http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = std::move(extra_headers);
        request.headers.emplace("Host", "h.example");
        request.headers.emplace("X-Api-Key", "key-1");
        request.headers.emplace("X-Pomelohoist-Attempt-Id", "a-1");
        request.headers.emplace("X-Pomelohoist-Deadline-Ms", "1500");
        return test_support::send_http(this->address, request, sink);
    }

    /// Starts the exchange with the other entries.
    void connect(const std::vector<peer_record>& others) {
        this->link.add_peers(others);
        this->link.start();
    }

    static std::uint16_t free_port() {
        const Poco::Net::ServerSocket probe{Poco::Net::SocketAddress{"127.0.0.1", 0}};
        return probe.address().port();
    }

    const std::string name;
    const net_address inner;
    system_clock time;
    structured_log log{make_null_log()};
    metrics_registry metrics;
    seeded_random random{1};
    header_names names{platform::make_header_names()};
    routing_state state{this->time, this->log};
    load_tracker tracker{this->time};
    unread_prompts prompts{this->time};
    crash_quarantine crashes{this->time, this->log, this->metrics};
    endpoint_statements statements{this->time, this->log};
    peer_link link{{{this->name, this->inner}, true, {}},
                   this->state,
                   this->tracker,
                   &this->crashes,
                   &this->statements,
                   &this->prompts,
                   nullptr,
                   this->time,
                   this->log};
    cooldown_tracker cooldowns{this->time};
    stream_capacity capacity{this->time};
    importance_levels levels{this->time};
    cold_start_limit cold{{1.5, 5.0}, this->time};
    shared_retry_budget budget{{0.2, 100.0, std::chrono::milliseconds{10000}}, this->time};
    connection_pool connections{this->time};
    buffer_budget buffers{config::response_buffer_bytes};
    tcp_endpoint_prober prober{config::endpoint_probe_timeout};
    lost_run_monitor lost_runs{this->prober, this->state, this->crashes, this->link,
                               this->time,   this->log,   this->metrics};
    crash_reporter reporter{this->prober, this->crashes, this->lost_runs, this->link,
                            this->time,   this->log,     this->metrics};
    admission_queue admission{this->state,      this->tracker, this->prompts,  this->link,   this->cooldowns,
                              this->statements, this->cold,    this->capacity, this->random, this->time};
    forwarding_parts parts{this->names,   this->admission, this->connections, this->cooldowns, this->budget,
                           this->buffers, this->tracker,   this->random,      this->time,      this->log,
                           this->metrics, this->reporter,  this->statements,  this->capacity,  this->levels};
    direct_service service{this->parts, this->state};
    net_address address{"127.0.0.1", free_port()};
    caller_server server{this->address, this->service, this->state, this->time};
};

} // namespace pomelohoist
