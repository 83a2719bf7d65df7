#include "support/deployment.h"
#include "support/standin_responses.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace pomelohoist::faults {
namespace {

using namespace std::chrono_literals;
using namespace test_support;

constexpr const char* crash_marker = "crashes-the-engine";
constexpr const char* workspace_key = "workspace-key";
constexpr const char* workspace_digest = "3a62bd7109ab344ae2b2f1d77f954e1712048fd887b6337a83a92b2891c78d8a";
constexpr std::uint64_t max_crashes_per_request = 2;
// Two requests may crash four endpoints at once; the harmless requests need endpoints that are still up.
constexpr std::uint64_t endpoint_count = 6;
constexpr std::uint64_t entry_count = 3;
constexpr std::uint32_t harmless_callers = 6;
constexpr std::uint32_t harmless_tokens = 12;
constexpr int crash_sends = 8;
constexpr int max_harmless_sends = 20;
constexpr auto warm_up = 300ms;
constexpr auto restart_delay = 1s;
constexpr auto watch_interval = 1ms;
constexpr auto retry_pause = 300ms;
constexpr auto harmless_retry_pause = 150ms;

struct crash_plan {
    std::string name;
    std::uint32_t crash_requests{1};
    bool kills_agent{false};
};

void start_deployment(deployment& cluster) {
    cluster.start_platform({"--host-lag-ms", "100"});
    for (std::uint64_t i = 1; i <= endpoint_count; ++i) {
        cluster.start_endpoint({"model-" + std::to_string(i),
                                "model",
                                "model-a",
                                "",
                                0,
                                "dc-1",
                                "",
                                "label.pool = drafting\n",
                                {"--token-ms", "4", "--crash-marker", crash_marker},
                                4});
    }
    for (std::uint64_t i = 1; i <= entry_count; ++i) {
        cluster.start_entry("entry-" + std::to_string(i));
    }
    const std::string declarations = "[workspace.team]\nkey_sha256 = " + std::string{workspace_digest} +
                                     "\nlabel.state = active\n[application.drafts]\nlabel.class = draft\n"
                                     "[selector.drafts]\nworkspaces = state=active\napplications = class=draft\n"
                                     "endpoints = pool=drafting\n";
    const process_outcome applied = cluster.apply(declarations + cluster.endpoint_declarations());
    if (applied.exit_status != 0) {
        throw std::runtime_error("declarations were not accepted: " + applied.output);
    }
}

/// Restarts crashed endpoints after `restart_delay`. With `kill_agents` it also kills the agent of a crashed endpoint,
/// as when the whole host fails.
/// @attention nothing else may use the processes of the endpoints during its lifetime
class endpoint_restarter {
  public:
    endpoint_restarter(deployment& target_cluster, bool kill_agents)
        : cluster(target_cluster), kills_agent(kill_agents), thread([this] { this->loop(); }) {}
    ~endpoint_restarter() {
        this->stopping = true;
        this->thread.join();
    }
    endpoint_restarter(const endpoint_restarter&) = delete;
    endpoint_restarter& operator=(const endpoint_restarter&) = delete;

    [[nodiscard]] std::uint64_t crashes() const { return this->crash_count; }
    [[nodiscard]] bool all_up() const { return this->down_count == 0; }

  private:
    using steady = std::chrono::steady_clock;

    void loop() {
        std::map<running_endpoint*, steady::time_point> down;
        while (!this->stopping || !down.empty()) {
            for (const auto& endpoint : this->cluster.endpoints()) {
                if (!down.contains(endpoint.get()) && !endpoint->standin.process->is_running()) {
                    if (this->kills_agent) {
                        endpoint->agent.process->kill();
                    }
                    down[endpoint.get()] = steady::now() + restart_delay;
                    this->down_count = down.size();
                    ++this->crash_count;
                }
            }
            std::erase_if(
                down, [this](const auto& crashed) { return this->restart_when_due(*crashed.first, crashed.second); });
            this->down_count = down.size();
            std::this_thread::sleep_for(watch_interval);
        }
    }

    bool restart_when_due(running_endpoint& crashed, steady::time_point due) {
        if (steady::now() < due) {
            return false;
        }
        this->cluster.restart_standin(crashed);
        if (this->kills_agent) {
            this->cluster.restart_agent(crashed);
        }
        return true;
    }

    deployment& cluster;
    bool kills_agent;
    std::atomic<std::uint64_t> crash_count{0};
    std::atomic<std::size_t> down_count{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/// Outcomes of the harmless requests as their callers saw them.
struct harmless_report {
    std::uint64_t requests{0};
    std::uint64_t served_at_once{0};
    std::uint64_t retried_by_entry{0}; ///< retried by an entry without the caller noticing
    std::uint64_t served_after_caller_retry{0};
    std::vector<std::string> not_served;
    std::map<std::string, std::uint64_t> error_kinds;
};

/// Callers that send idempotent requests, each with a different prompt.
class harmless_load {
  public:
    explicit harmless_load(const std::vector<running_program>& entries) {
        for (const running_program& entry : entries) {
            this->targets.push_back(entry.http);
        }
        for (std::uint32_t i = 0; i < harmless_callers; ++i) {
            this->threads.emplace_back([this, i] { this->caller_loop(i); });
        }
    }
    ~harmless_load() { static_cast<void>(this->stop()); }
    harmless_load(const harmless_load&) = delete;
    harmless_load& operator=(const harmless_load&) = delete;

    harmless_report stop() {
        this->stopping = true;
        for (std::thread& thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        return this->numbers;
    }

  private:
    void caller_loop(std::uint32_t number) {
        for (std::uint64_t i = 0; !this->stopping; ++i) {
            const std::string id = "harmless-" + std::to_string(number) + "-" + std::to_string(i);
            const draft call{workspace_key, "model-a", "drafts", "prompt of " + id, harmless_tokens, i % 2 == 0, ""};
            this->send_until_served(call, id, number + i);
        }
    }

    void send_until_served(const draft& call, const std::string& id, std::uint64_t first_entry) {
        for (int send = 0; send < max_harmless_sends; ++send) {
            http_request request = to_request(call);
            request.headers["X-Request-Id"] = id + "-s" + std::to_string(send);
            const std::uint64_t entry = first_entry + static_cast<std::uint64_t>(send);
            const http_response response = send_http(this->targets.at(entry % this->targets.size()), request);
            if (this->record_response(is_full_response(call, response), error_kind_of(response), send == 0)) {
                return;
            }
            std::this_thread::sleep_for(harmless_retry_pause);
        }
        const std::lock_guard lock{this->mutex};
        this->numbers.not_served.push_back(id);
    }

    /// @returns true when the request was served
    bool record_response(bool is_full, const std::string& kind, bool is_first_send) {
        const std::lock_guard lock{this->mutex};
        this->numbers.requests += is_first_send ? 1 : 0;
        if (is_full) {
            ++(is_first_send ? this->numbers.served_at_once : this->numbers.served_after_caller_retry);
            return true;
        }
        ++this->numbers.error_kinds[kind.empty() ? "broken stream" : kind];
        return false;
    }

    std::vector<net_address> targets;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    harmless_report numbers;
    std::vector<std::thread> threads;
};

draft crash_call(std::uint32_t number) {
    return {workspace_key, "model-a", "drafts", std::string{crash_marker} + " " + std::to_string(number), 4, false, ""};
}

http_response send_crash(const running_program& entry, std::uint32_t number, int send) {
    http_request request = to_request(crash_call(number));
    request.headers["X-Request-Id"] = "crash-" + std::to_string(number) + "-s" + std::to_string(send);
    return send_http(entry.http, request);
}

/// Sends a request that crashes its endpoint, and retries it through the next entry, `crash_sends` sends in total.
/// @returns the error kinds of the responses
std::vector<std::string> retry_crash(deployment& cluster, std::uint32_t number) {
    std::vector<std::string> kinds;
    for (int send = 0; send < crash_sends; ++send) {
        const std::uint64_t entry = (number + static_cast<std::uint64_t>(send)) % entry_count;
        kinds.push_back(error_kind_of(send_crash(cluster.entries().at(entry), number, send)));
        std::this_thread::sleep_for(retry_pause);
    }
    return kinds;
}

/// @returns number of starts by id, for the ids that begin with `id_begin`, over all endpoints and their restarts
std::map<std::string, std::uint64_t> read_starts(deployment& cluster, const std::string& id_begin) {
    std::map<std::string, std::uint64_t> starts;
    for (const auto& endpoint : cluster.endpoints()) {
        std::ifstream lines{cluster.journal_of(*endpoint)};
        std::string table;
        std::string name;
        while (lines >> table >> name) {
            if (table == "started" && name.starts_with(id_begin)) {
                ++starts[name];
            }
        }
    }
    return starts;
}

std::uint64_t count_starts(deployment& cluster, const std::string& id_begin) {
    std::uint64_t sum = 0;
    for (const auto& [id, starts] : read_starts(cluster, id_begin)) {
        sum += starts;
    }
    return sum;
}

/// @returns number of harmless requests that an entry retried because their endpoint crashed
std::uint64_t count_retried_by_entry(deployment& cluster) {
    const std::map<std::string, std::uint64_t> starts = read_starts(cluster, "harmless-");
    return static_cast<std::uint64_t>(
        std::count_if(starts.begin(), starts.end(), [](const auto& request) { return request.second > 1; }));
}

void print(const crash_plan& plan, const harmless_report& harmless, std::uint64_t crashes) {
    std::cout << plan.name << ": crashes " << crashes << ", harmless requests " << harmless.requests
              << ", served at once " << harmless.served_at_once << " (retried by an entry " << harmless.retried_by_entry
              << "), after a retry by the caller " << harmless.served_after_caller_retry << ", not served "
              << harmless.not_served.size();
    for (const auto& [kind, number] : harmless.error_kinds) {
        std::cout << ", " << kind << " " << number;
    }
    std::cout << std::endl;
}

void check_quarantine(deployment& cluster, std::uint32_t number) {
    const std::string id_begin = "crash-" + std::to_string(number) + "-";
    EXPECT_LE(count_starts(cluster, id_begin), max_crashes_per_request) << "endpoints crashed by one request";
    for (const running_program& entry : cluster.entries()) {
        EXPECT_EQ(error_kind_of(send_crash(entry, number, crash_sends)), "request_quarantined")
            << "request " << number << " through " << entry.name;
    }
    EXPECT_LE(count_starts(cluster, id_begin), max_crashes_per_request) << "endpoints crashed by one request";
}

void run_plan(const crash_plan& plan) {
    const std::string folder = POMELOHOIST_BIN_DIR "/../faults/crash-" + plan.name;
    std::filesystem::remove_all(folder);
    deployment cluster{POMELOHOIST_BIN_DIR, folder};
    start_deployment(cluster);
    harmless_report harmless;
    std::uint64_t crashes = 0;
    {
        endpoint_restarter restarter{cluster, plan.kills_agent};
        harmless_load load{cluster.entries()};
        std::this_thread::sleep_for(warm_up);
        std::vector<std::vector<std::string>> kinds(plan.crash_requests);
        std::vector<std::thread> callers;
        for (std::uint32_t i = 0; i < plan.crash_requests; ++i) {
            callers.emplace_back([&cluster, &kinds, i] { kinds.at(i) = retry_crash(cluster, i); });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        while (!restarter.all_up()) {
            std::this_thread::sleep_for(watch_interval);
        }
        for (std::uint32_t i = 0; i < plan.crash_requests; ++i) {
            EXPECT_EQ(std::count(kinds.at(i).begin(), kinds.at(i).end(), ""), 0) << "responses without an error";
            check_quarantine(cluster, i);
        }
        harmless = load.stop();
        harmless.retried_by_entry = count_retried_by_entry(cluster);
        crashes = restarter.crashes();
    }
    print(plan, harmless, crashes);
    EXPECT_LE(crashes, max_crashes_per_request * plan.crash_requests);
    EXPECT_GT(harmless.served_at_once, 0U);
    EXPECT_TRUE(harmless.not_served.empty()) << harmless.not_served.front();
    EXPECT_EQ(harmless.error_kinds["request_quarantined"], 0U) << "harmless requests were quarantined";
    EXPECT_EQ(harmless.served_after_caller_retry, 0U) << "idempotent requests failed although they could be retried";
    EXPECT_TRUE(cluster.stop_all().empty());
}

// Guards against a request that crashes one endpoint after another because its caller retries it.
TEST(crash_request_test, one_request_costs_at_most_two_endpoints) {
    run_plan({"endpoint", 1, false});
}

// Guards against losing the crash count together with the agent, and against counting one crash twice when both the
// agent and an entry report it.
TEST(crash_request_test, one_request_costs_at_most_two_hosts) {
    run_plan({"host", 1, true});
}

// Guards against blaming harmless requests for the crashes that two different requests cause.
TEST(crash_request_test, two_requests_cost_at_most_two_endpoints_each) {
    run_plan({"two-requests", 2, false});
}

// Guards against the faults of the two tests above at the same time: lost or doubled crash counts while the agents are
// killed, and harmless requests that are blamed.
TEST(crash_request_test, two_requests_cost_at_most_two_hosts_each) {
    run_plan({"two-requests-host", 2, true});
}

} // namespace
} // namespace pomelohoist::faults
