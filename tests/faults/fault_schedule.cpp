#include "faults/fault_schedule.h"

#include "support/standin_answers.h"

#include <array>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace pomelohoist::faults {

namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr std::size_t fault_count = static_cast<std::size_t>(fault::count);
constexpr std::uint64_t min_hold_ms = 300;
constexpr std::uint64_t hold_range_ms = 2700;
constexpr auto stop_limit = 30s;

constexpr std::array<const char*, fault_count> names{
    "kill_agent",   "kill_endpoint", "kill_entry", "freeze_agent",   "freeze_endpoint",
    "freeze_entry", "store_down",    "store_slow", "lost_answers",   "drain_endpoint",
    "host_leaves",  "stop_agent",    "stop_entry", "operators_race", "cut_agent",
};

std::string workspace_digest() {
    // SHA-256 of "workspace-key".
    return "3a62bd7109ab344ae2b2f1d77f954e1712048fd887b6337a83a92b2891c78d8a";
}

std::chrono::milliseconds hold_time(std::mt19937_64& random) {
    return std::chrono::milliseconds{min_hold_ms + random() % hold_range_ms};
}

void hold(std::mt19937_64& random) {
    std::this_thread::sleep_for(hold_time(random));
}

running_endpoint& any_endpoint(deployment& all, std::mt19937_64& random) {
    return *all.endpoints().at(random() % all.endpoints().size());
}

running_program& any_entry(deployment& all, std::mt19937_64& random) {
    return all.entries().at(random() % all.entries().size());
}

void freeze(child_process& process, std::mt19937_64& random) {
    process.freeze();
    hold(random);
    process.resume();
}

void stop_gracefully(child_process& process, const std::string& name) {
    process.terminate();
    const auto outcome = process.wait(stop_limit);
    if (!outcome || outcome->exit_status != 0) {
        throw std::runtime_error(name + " did not stop gracefully");
    }
}

void set_leaving(deployment& all, const std::string& hosts) {
    http_request request;
    request.method = "PUT";
    request.path = "/standin/hosts";
    request.body = R"({"live":[],"leaving":[)" + hosts + "]}";
    send_http(all.platform().http, request);
}

std::string race_operators(deployment& all) {
    const std::string target = all.endpoints().front()->options.name;
    process_outcome first;
    process_outcome second;
    std::thread other{[&] { second = all.operate({"label", "endpoint", target, "shelf=a", "row=1"}); }};
    first = all.operate({"label", "endpoint", target, "shelf=b", "place=2"});
    other.join();
    return std::to_string(first.exit_status) + "/" + std::to_string(second.exit_status);
}

std::string inject_process_fault(fault kind, deployment& all, std::mt19937_64& random) {
    running_endpoint& endpoint = any_endpoint(all, random);
    running_program& entry = any_entry(all, random);
    switch (kind) {
    case fault::kill_agent:
        endpoint.agent.process->kill();
        hold(random);
        all.restart_agent(endpoint);
        return endpoint.options.name;
    case fault::kill_endpoint:
        endpoint.standin.process->kill();
        hold(random);
        all.restart_standin(endpoint);
        return endpoint.options.name;
    case fault::kill_entry:
        entry.process->kill();
        hold(random);
        all.restart_entry(entry);
        return entry.name;
    case fault::freeze_agent:
        freeze(*endpoint.agent.process, random);
        return endpoint.options.name;
    case fault::freeze_endpoint:
        freeze(*endpoint.standin.process, random);
        return endpoint.options.name;
    case fault::freeze_entry:
        freeze(*entry.process, random);
        return entry.name;
    case fault::cut_agent:
        endpoint.path->set_cut(true);
        hold(random);
        endpoint.path->set_cut(false);
        return endpoint.options.name;
    case fault::stop_agent:
        stop_gracefully(*endpoint.agent.process, endpoint.options.name);
        all.restart_agent(endpoint);
        return endpoint.options.name;
    default:
        stop_gracefully(*entry.process, entry.name);
        all.restart_entry(entry);
        return entry.name;
    }
}

std::string inject_platform_fault(fault kind, deployment& all, std::mt19937_64& random) {
    running_endpoint& endpoint = any_endpoint(all, random);
    switch (kind) {
    case fault::store_down:
        set_faults(all.platform().http, R"({"down":true})");
        hold(random);
        set_faults(all.platform().http, R"({"down":false})");
        return "";
    case fault::store_slow:
        set_faults(all.platform().http, R"({"slow_ms":700})");
        hold(random);
        set_faults(all.platform().http, R"({"slow_ms":0})");
        return "";
    case fault::store_loses_answers:
        set_faults(all.platform().http, R"({"lose_answers":{"share":0.5}})");
        hold(random);
        set_faults(all.platform().http, R"({"lose_answers":{"share":0.0}})");
        return "";
    case fault::drain_endpoint:
        all.operate({"label", "endpoint", endpoint.options.name, "state=drained"});
        hold(random);
        all.operate({"label", "endpoint", endpoint.options.name, "state=active"});
        return endpoint.options.name;
    case fault::host_leaves:
        set_leaving(all, "\"" + endpoint.options.host + "\"");
        hold(random);
        set_leaving(all, "");
        return endpoint.options.name;
    default:
        return race_operators(all);
    }
}

} // namespace

std::string to_string(fault kind) {
    return names.at(static_cast<std::size_t>(kind));
}

void start_deployment(deployment& all) {
    all.start_platform({"--host-lag-ms", "100"});
    const std::string drafting = "label.pool = drafting\nlabel.state = active\n";
    const std::string desk = "label.pool = desk\nlabel.state = active\n";
    for (int i = 1; i <= 3; ++i) {
        const std::string number = std::to_string(i);
        all.start_endpoint(
            {"model-" + number, "model", "model-a", "", 0, "dc-" + number, "", drafting, {"--token-ms", "4"}, 4});
    }
    for (int i = 1; i <= 2; ++i) {
        const std::string number = std::to_string(i);
        all.start_endpoint(
            {"service-" + number, "service", "service-a", "", 0, "dc-" + number, "", desk, {"--delay-ms", "150"}});
    }
    for (const auto& endpoint : all.endpoints()) {
        all.add_path(*endpoint);
    }
    all.start_entry("entry-1", "dc-1");
    all.start_entry("entry-2", "dc-2");
    const std::string declarations = "[workspace.team]\nkey_sha256 = " + workspace_digest() +
                                     "\nlabel.state = active\n"
                                     "[application.drafts]\nlabel.class = draft\n"
                                     "[application.bookings]\nidempotent = false\nlabel.class = desk\n"
                                     "[selector.drafts]\nworkspaces = state=active\napplications = class=draft\n"
                                     "endpoints = pool=drafting,state=active\n"
                                     "[selector.desk]\nworkspaces = state=active\napplications = class=desk\n"
                                     "endpoints = pool=desk,state=active\n";
    const process_outcome applied = all.apply(declarations + all.endpoint_declarations());
    if (applied.exit_status != 0) {
        throw std::runtime_error("declarations were not accepted: " + applied.output);
    }
}

std::vector<std::string> journals_of(deployment& all) {
    std::vector<std::string> files;
    for (const auto& endpoint : all.endpoints()) {
        files.push_back(all.journal_of(*endpoint));
    }
    return files;
}

std::vector<net_address> entries_of(deployment& all) {
    std::vector<net_address> addresses;
    for (const running_program& entry : all.entries()) {
        addresses.push_back(entry.http);
    }
    return addresses;
}

std::string inject(fault kind, deployment& all, std::mt19937_64& random) {
    const bool is_process_fault = kind <= fault::freeze_entry || kind == fault::stop_agent ||
                                  kind == fault::stop_entry || kind == fault::cut_agent;
    const std::string where =
        is_process_fault ? inject_process_fault(kind, all, random) : inject_platform_fault(kind, all, random);
    return to_string(kind) + (where.empty() ? "" : "(" + where + ")");
}

} // namespace pomelohoist::faults
