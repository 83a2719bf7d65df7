#include "../support/app_server.h"
#include "../support/case_run.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <iostream>
#include <mutex>
#include <thread>

/// Large requests while one of six servers is dark for some seconds, five times.
namespace review {
namespace {

using namespace std::chrono_literals;

constexpr int entry_count = 3;
constexpr int server_count = 6;
constexpr int requests_in_round = 24;
constexpr int rounds = 5;
constexpr std::size_t body_bytes = 4000000; // the configuration allows 4194304
constexpr int receive_buffer_bytes = 65536;
constexpr int timeout_ms = 2000; // of the route
constexpr auto dark_time = 4500ms;
constexpr auto late_time = std::chrono::milliseconds{timeout_ms} + 500ms;
constexpr auto longest_wait = 9000ms;

struct outcome_counts {
    int all{0};
    int unanswered_at_timeout{0};
    int unanswered_half_a_second_later{0};
};

class caller_group {
  public:
    explicit caller_group(deployment& used) : site(used) {}

    void send_round(int round) {
        std::vector<std::thread> threads;
        threads.reserve(requests_in_round);
        for (int i = 0; i < requests_in_round; ++i) {
            threads.emplace_back([this, round, i] { this->send(round, i); });
        }
        for (std::thread& each : threads) {
            each.join();
        }
    }

    [[nodiscard]] outcome_counts counts() const { return this->sums; }

  private:
    void send(int round, int index) {
        const std::string id = "order-" + std::to_string(round) + "-" + std::to_string(index);
        const auto& entry = this->site.entries[static_cast<std::size_t>(index) % this->site.entries.size()];
        const connection channel = connect_to(entry->front, 1000ms);
        const auto begin = std::chrono::steady_clock::now();
        const bool is_sent = channel.send_all(
            std::string{"POST "} + route_prefix + "new HTTP/1.1\r\nHost: " + route_host +
            "\r\nX-Pomelohoist-Attempt-Id: " + id + "\r\nX-Pomelohoist-Deadline-Ms: 4000\r\nX-Api-Key: " + api_key +
            "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
        const auto sent_at = std::chrono::steady_clock::now();
        http_reader reader{channel};
        const auto answer = reader.read(sent_at + longest_wait);
        const auto took =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sent_at);
        const auto sending = std::chrono::duration_cast<std::chrono::milliseconds>(sent_at - begin);
        this->site.record.add("request  " + id + " to " + entry->name + (is_sent ? ": sent in " : ": cut off after ") +
                              std::to_string(sending.count()) + " ms, " +
                              (answer && answer->is_complete ? answer->start_line : "no answer") + " after " +
                              std::to_string(took.count()) + " ms");
        const std::lock_guard lock{this->mutex};
        ++this->sums.all;
        this->sums.unanswered_at_timeout += took.count() > timeout_ms ? 1 : 0;
        this->sums.unanswered_half_a_second_later += took > late_time ? 1 : 0;
    }

    deployment& site;
    std::mutex mutex;
    outcome_counts sums;
};

void run_case(const std::string& folder) {
    deployment site{folder};
    site.store.put("op", "config", one_route_config("unsafe", timeout_ms, 1));
    run_log log{site.record};
    std::vector<std::unique_ptr<app_server>> servers;
    for (int i = 0; i < server_count; ++i) {
        const std::string id = "i-" + std::to_string(i + 1);
        servers.push_back(
            std::make_unique<app_server>(id, site.next_ip(), log, server_options{200ms, receive_buffer_bytes}));
        site.add_server(id, service_name, servers.back()->local_address(), 6);
    }
    for (int i = 0; i < entry_count; ++i) {
        site.start_entry(site.store.local_address());
    }
    if (!site.wait_ready(10s)) {
        site.record.add("the entries are not ready");
        site.finish(verdict::not_run);
    }
    caller_group callers{site};
    for (int round = 0; round < rounds; ++round) {
        app_server& affected = *servers[static_cast<std::size_t>(round)];
        std::thread trouble{[&site, &affected] {
            if (site.has_trouble) {
                site.record.add("trouble  one server is dark");
                affected.set_dark(true);
                std::this_thread::sleep_for(dark_time);
                affected.set_dark(false);
                site.record.add("trouble  the server is back");
            }
        }};
        std::this_thread::sleep_for(200ms);
        callers.send_round(round);
        trouble.join();
        for (const auto& entry : site.entries) {
            site.record.add("memory   " + entry->name + ": " + std::to_string(entry->process->peak_memory_kb()) +
                            " KB");
        }
    }
    const outcome_counts counts = callers.counts();
    site.record.add("result   " + std::to_string(counts.all) + " requests; " +
                    std::to_string(counts.unanswered_at_timeout) + " unanswered at the route's timeout, of these " +
                    std::to_string(counts.unanswered_half_a_second_later) + " half a second later");
    const bool is_broken = counts.unanswered_half_a_second_later >= 8 &&
                           counts.unanswered_half_a_second_later * 2 > counts.unanswered_at_timeout;
    site.finish(is_broken ? verdict::broken : verdict::held);
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    try {
        review::run_case(argc > 1 ? argv[1] : ".");
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    return static_cast<int>(review::verdict::not_run);
}
