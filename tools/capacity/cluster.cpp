#include "capacity/cluster.h"

#include "operator/status_client.h"

#include <pomelohoist/clock.h>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace pomelohoist::capacity {

namespace {

using namespace std::chrono_literals;
using test_support::deployment;

constexpr std::size_t digest_digits = 64;
constexpr std::size_t hosts_per_subnet = 250;
constexpr std::size_t data_centres = 22;
constexpr std::size_t models = 7;
constexpr auto version_timeout = 30s;
// SHA-256 of team_key.
const std::string team_digest = "3a62bd7109ab344ae2b2f1d77f954e1712048fd887b6337a83a92b2891c78d8a";

/// Queries the status of processes over its own socket.
struct status_caller {
    status_caller() { this->endpoint.start(nullptr); }
    ~status_caller() { this->endpoint.stop(); }
    status_caller(const status_caller&) = delete;
    status_caller& operator=(const status_caller&) = delete;

    std::vector<std::uint64_t> versions(const std::vector<net_address>& processes) {
        std::vector<std::uint64_t> versions_found;
        for (const auto& response : this->client.query(processes, 300ms)) {
            versions_found.push_back(response ? response->configuration_version : 0);
        }
        return versions_found;
    }

    system_clock time;
    inner::datagram_endpoint endpoint{{"127.0.0.1", 0}, "capacity", this->time};
    datagram_status_client client{this->endpoint};
};

} // namespace

const std::string team_key = "workspace-key";

deployment make_deployment(const run_folders& folders, const std::string& name) {
    std::filesystem::remove_all(folders.work + "/" + name);
    return deployment{folders.binaries, folders.work + "/" + name};
}

std::string base_declarations() {
    return "[workspace.team]\nkey_sha256 = " + team_digest +
           "\n[application.drafts]\nlabel.class = draft\n[application.desk]\nlabel.class = desk\n"
           "[selector.drafts]\nworkspaces = *\napplications = class=draft\nendpoints = pool=drafting\n"
           "[selector.desk]\nworkspaces = *\napplications = class=desk\nendpoints = pool=desk\n";
}

std::string declare_workspaces(std::size_t first, std::size_t last) {
    std::ostringstream text;
    for (std::size_t i = first; i < last; ++i) {
        const std::string number = std::to_string(i);
        text << "[workspace.workspace-" << i << "]\nkey_sha256 = " << std::string(digest_digits - number.size(), '0')
             << number << "\nlabel.size = small\n";
    }
    return text.str();
}

std::string declare_endpoints(std::size_t first, std::size_t last) {
    std::ostringstream text;
    for (std::size_t i = first; i < last; ++i) {
        text << "[endpoint.declared-" << i << "]\nkind = model\nagent = 127.254." << i / hosts_per_subnet << "."
             << 1 + i % hosts_per_subnet << ":9\ndata_centre = dc-" << 1 + i % data_centres << "\nhost = host-" << i
             << "\nserves = model-" << i % models << "\nlabel.pool = drafting-" << i % models << "\n";
    }
    return text.str();
}

void apply_file(deployment& cluster, const std::string& declarations) {
    const std::string file = cluster.work_folder() + "/size.ini";
    std::ofstream{file} << declarations;
    const test_support::process_outcome outcome = cluster.operate({"apply", file});
    if (outcome.exit_status != 0) {
        throw std::runtime_error("declarations were not accepted: " + outcome.output);
    }
}

std::uint64_t version_of(const net_address& process) {
    status_caller caller;
    return caller.versions({process}).front();
}

double wait_for_version(const std::vector<net_address>& processes, std::uint64_t version) {
    const auto begin = std::chrono::steady_clock::now();
    status_caller caller;
    std::vector<net_address> pending = processes;
    while (!pending.empty()) {
        const std::vector<std::uint64_t> versions_found = caller.versions(pending);
        std::vector<net_address> still_pending;
        for (std::size_t i = 0; i < pending.size(); ++i) {
            if (versions_found[i] < version) {
                still_pending.push_back(pending[i]);
            }
        }
        pending = std::move(still_pending);
        if (std::chrono::steady_clock::now() - begin > version_timeout) {
            throw std::runtime_error("a process does not have version " + std::to_string(version) + " after 30 s");
        }
        std::this_thread::sleep_for(5ms);
    }
    return elapsed_ms(begin);
}

std::map<std::string, store_access> read_store_accesses(const net_address& platform) {
    test_support::http_request request;
    request.path = "/standin/counts";
    const nlohmann::json counts = nlohmann::json::parse(test_support::send_http(platform, request).body);
    std::map<std::string, store_access> accesses{
        {"", {counts.at("reads").get<double>(), counts.at("writes").get<double>()}}};
    for (const auto& [prefix, access] : counts.at("prefixes").items()) {
        accesses[prefix] = {access.at("reads").get<double>(), access.at("writes").get<double>()};
    }
    return accesses;
}

} // namespace pomelohoist::capacity
