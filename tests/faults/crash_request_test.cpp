#include "support/deployment.h"
#include "support/standin_answers.h"

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
constexpr std::uint64_t max_deaths_per_request = 2;
// Two requests may take down four endpoints at once; the harmless requests need some that are left.
constexpr std::uint64_t endpoint_count = 6;
constexpr std::uint64_t entry_count = 3;
constexpr std::uint32_t harmless_callers = 6;
constexpr std::uint32_t harmless_tokens = 12;
constexpr int crash_sends = 8;
constexpr int max_harmless_sends = 20;
constexpr auto warm_up = 300ms;
constexpr auto restart_delay = 1s;
constexpr auto watch_interval = 1ms;
constexpr auto resend_pause = 300ms;
constexpr auto harmless_resend_pause = 150ms;

struct crash_plan {
    std::string name;
    std::uint32_t crash_requests{1};
    bool agent_dies_too{false};
};

void start_deployment(deployment& all) {
    all.start_platform({"--host-lag-ms", "100"});
    for (std::uint64_t i = 1; i <= endpoint_count; ++i) {
        all.start_endpoint({"model-" + std::to_string(i),
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
        all.start_entry("entry-" + std::to_string(i));
    }
    const std::string declarations = "[workspace.team]\nkey_sha256 = " + std::string{workspace_digest} +
                                     "\nlabel.state = active\n[application.drafts]\nlabel.class = draft\n"
                                     "[selector.drafts]\nworkspaces = state=active\napplications = class=draft\n"
                                     "endpoints = pool=drafting\n";
    const process_outcome applied = all.apply(declarations + all.endpoint_declarations());
    if (applied.exit_status != 0) {
        throw std::runtime_error("declarations were not accepted: " + applied.output);
    }
}

/// Starts endpoints that died again after `restart_delay`; kills the agent of a dead endpoint when its host dies too.
/// @attention the only user of the endpoints' processes while it lives
class endpoint_keeper {
  public:
    endpoint_keeper(deployment& watched, bool kill_agents)
        : all(watched), agent_dies_too(kill_agents), thread([this] { this->loop(); }) {}
    ~endpoint_keeper() {
        this->stopping = true;
        this->thread.join();
    }
    endpoint_keeper(const endpoint_keeper&) = delete;
    endpoint_keeper& operator=(const endpoint_keeper&) = delete;

    [[nodiscard]] std::uint64_t deaths() const { return this->death_count; }
    [[nodiscard]] bool all_up() const { return this->down_count == 0; }

  private:
    using steady = std::chrono::steady_clock;

    void loop() {
        std::map<running_endpoint*, steady::time_point> down;
        while (!this->stopping || !down.empty()) {
            for (const auto& endpoint : this->all.endpoints()) {
                if (!down.contains(endpoint.get()) && !endpoint->standin.process->is_running()) {
                    if (this->agent_dies_too) {
                        endpoint->agent.process->kill();
                    }
                    down[endpoint.get()] = steady::now() + restart_delay;
                    this->down_count = down.size();
                    ++this->death_count;
                }
            }
            std::erase_if(down, [this](const auto& dead) { return this->restart_when_due(*dead.first, dead.second); });
            this->down_count = down.size();
            std::this_thread::sleep_for(watch_interval);
        }
    }

    bool restart_when_due(running_endpoint& dead, steady::time_point due) {
        if (steady::now() < due) {
            return false;
        }
        this->all.restart_standin(dead);
        if (this->agent_dies_too) {
            this->all.restart_agent(dead);
        }
        return true;
    }

    deployment& all;
    bool agent_dies_too;
    std::atomic<std::uint64_t> death_count{0};
    std::atomic<std::size_t> down_count{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/// What the harmless callers saw.
struct harmless_report {
    std::uint64_t requests{0};
    std::uint64_t served_at_once{0};
    std::uint64_t retried{0}; ///< run again by an entry, unseen by the caller
    std::uint64_t served_after_resend{0};
    std::vector<std::string> not_served;
    std::map<std::string, std::uint64_t> error_kinds;
};

/// Callers with idempotent requests, each with a prompt of its own.
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
            const http_response answer = send_http(this->targets.at(entry % this->targets.size()), request);
            if (this->note_answer(is_whole_answer(call, answer), error_kind_of(answer), send == 0)) {
                return;
            }
            std::this_thread::sleep_for(harmless_resend_pause);
        }
        const std::lock_guard lock{this->mutex};
        this->numbers.not_served.push_back(id);
    }

    /// @returns true when the request was served
    bool note_answer(bool whole, const std::string& kind, bool is_first_send) {
        const std::lock_guard lock{this->mutex};
        this->numbers.requests += is_first_send ? 1 : 0;
        if (whole) {
            ++(is_first_send ? this->numbers.served_at_once : this->numbers.served_after_resend);
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

/// @returns error kinds of the answers to a request that crashes endpoints and is sent again through the next entry
std::vector<std::string> resend_crash(deployment& all, std::uint32_t number) {
    std::vector<std::string> kinds;
    for (int send = 0; send < crash_sends; ++send) {
        const std::uint64_t entry = (number + static_cast<std::uint64_t>(send)) % entry_count;
        kinds.push_back(error_kind_of(send_crash(all.entries().at(entry), number, send)));
        std::this_thread::sleep_for(resend_pause);
    }
    return kinds;
}

/// @returns starts by id of requests whose ids begin with the text, over all endpoints and their lives
std::map<std::string, std::uint64_t> read_starts(deployment& all, const std::string& id_begin) {
    std::map<std::string, std::uint64_t> starts;
    for (const auto& endpoint : all.endpoints()) {
        std::ifstream lines{all.journal_of(*endpoint)};
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

std::uint64_t count_starts(deployment& all, const std::string& id_begin) {
    std::uint64_t sum = 0;
    for (const auto& [id, starts] : read_starts(all, id_begin)) {
        sum += starts;
    }
    return sum;
}

/// @returns harmless requests that an entry ran again because their endpoint died
std::uint64_t count_retried(deployment& all) {
    const std::map<std::string, std::uint64_t> starts = read_starts(all, "harmless-");
    return static_cast<std::uint64_t>(
        std::count_if(starts.begin(), starts.end(), [](const auto& request) { return request.second > 1; }));
}

void print(const crash_plan& plan, const harmless_report& harmless, std::uint64_t deaths) {
    std::cout << plan.name << ": deaths " << deaths << ", harmless requests " << harmless.requests
              << ", served at once " << harmless.served_at_once << " (retried " << harmless.retried
              << "), after a resend " << harmless.served_after_resend << ", not served " << harmless.not_served.size();
    for (const auto& [kind, number] : harmless.error_kinds) {
        std::cout << ", " << kind << " " << number;
    }
    std::cout << std::endl;
}

void check_quarantine(deployment& all, std::uint32_t number) {
    const std::string id_begin = "crash-" + std::to_string(number) + "-";
    EXPECT_LE(count_starts(all, id_begin), max_deaths_per_request) << "endpoints lost to one request";
    for (const running_program& entry : all.entries()) {
        EXPECT_EQ(error_kind_of(send_crash(entry, number, crash_sends)), "request_quarantined")
            << "request " << number << " through " << entry.name;
    }
    EXPECT_LE(count_starts(all, id_begin), max_deaths_per_request) << "endpoints lost to one request";
}

void run_plan(const crash_plan& plan) {
    const std::string folder = POMELOHOIST_BIN_DIR "/../faults/crash-" + plan.name;
    std::filesystem::remove_all(folder);
    deployment all{POMELOHOIST_BIN_DIR, folder};
    start_deployment(all);
    harmless_report harmless;
    std::uint64_t deaths = 0;
    {
        endpoint_keeper keeper{all, plan.agent_dies_too};
        harmless_load load{all.entries()};
        std::this_thread::sleep_for(warm_up);
        std::vector<std::vector<std::string>> kinds(plan.crash_requests);
        std::vector<std::thread> callers;
        for (std::uint32_t i = 0; i < plan.crash_requests; ++i) {
            callers.emplace_back([&all, &kinds, i] { kinds.at(i) = resend_crash(all, i); });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        while (!keeper.all_up()) {
            std::this_thread::sleep_for(watch_interval);
        }
        for (std::uint32_t i = 0; i < plan.crash_requests; ++i) {
            EXPECT_EQ(std::count(kinds.at(i).begin(), kinds.at(i).end(), ""), 0) << "answers without an error";
            check_quarantine(all, i);
        }
        harmless = load.stop();
        harmless.retried = count_retried(all);
        deaths = keeper.deaths();
    }
    print(plan, harmless, deaths);
    EXPECT_LE(deaths, max_deaths_per_request * plan.crash_requests);
    EXPECT_GT(harmless.served_at_once, 0U);
    EXPECT_TRUE(harmless.not_served.empty()) << harmless.not_served.front();
    EXPECT_EQ(harmless.error_kinds["request_quarantined"], 0U) << "harmless requests were quarantined";
    EXPECT_EQ(harmless.served_after_resend, 0U) << "idempotent requests failed although they could be retried";
    EXPECT_TRUE(all.stop_all().empty());
}

// Guards against a request that takes down one endpoint after the other because its caller resends it.
TEST(crash_request_test, one_request_costs_at_most_two_endpoints) {
    run_plan({"endpoint", 1, false});
}

// Guards against losing the count of deaths with the agent, and against counting one death twice when both the agent
// and an entry report it.
TEST(crash_request_test, one_request_costs_at_most_two_hosts) {
    run_plan({"host", 1, true});
}

// Guards against blaming harmless requests for the deaths that two different requests cause.
TEST(crash_request_test, two_requests_cost_at_most_two_endpoints_each) {
    run_plan({"two-requests", 2, false});
}

// Guards against both of these at the same time.
TEST(crash_request_test, two_requests_cost_at_most_two_hosts_each) {
    run_plan({"two-requests-host", 2, true});
}

} // namespace
} // namespace pomelohoist::faults
