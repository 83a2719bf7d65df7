// Compares methods that protect workspaces from a workspace that floods an endpoint: the agent's fair queue, a first-in
// first-out queue, and a fixed-window limit for each workspace before a first-in first-out queue. Runs the agent's
// scheduler in real time and replaces the endpoint by a sleep.

#include "agent/run_scheduler.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace pomelohoist;
using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

constexpr std::uint32_t slots = 8;
constexpr auto service_time = 20ms;
constexpr double capacity_per_s = 400.0; ///< slots / service_time
constexpr std::uint32_t workspaces = 10; ///< workspace 0 floods the endpoint
constexpr double share_per_s = capacity_per_s / workspaces;
constexpr double flood_factor = 10.0;
constexpr double moderate_load = 0.8;
constexpr auto deadline = 500ms;
constexpr std::uint32_t flood_senders = 256; ///< exceeds the requests that can be in flight within the deadline
constexpr std::uint32_t moderate_senders = 32;
constexpr seconds flood_start{4.0};
constexpr seconds flood_duration{16.0};
constexpr seconds idle_duration{10.0};

/// How requests are limited and ordered.
struct scheme {
    std::string name;
    bool fair{false};       ///< one queue for each workspace; otherwise all workspaces share one queue
    seconds window{0.0};    ///< fixed window, 0 for no limit
    seconds to_boundary{0}; ///< from the start of the flood to the next boundary of the window
};

/// Outcome of one request, with times from its scheduled arrival.
struct outcome {
    seconds arrival{0.0};
    seconds wait{0.0};
    bool served{false};
    bool admitted{false}; ///< not refused by the fixed window
};

/// Counts the requests of each workspace in each window; the window index is part of the key.
class fixed_window {
  public:
    fixed_window(seconds length, seconds first_boundary) : window(length), boundary(first_boundary) {}

    bool admit(std::uint32_t workspace, seconds now) {
        if (this->window.count() <= 0.0) {
            return true;
        }
        const auto index = static_cast<std::int64_t>(std::floor((now - this->boundary) / this->window));
        const std::lock_guard lock{this->mutex};
        std::uint64_t& count = this->counts[{workspace, index}];
        return count++ < this->limit();
    }

    [[nodiscard]] std::uint64_t limit() const { return static_cast<std::uint64_t>(share_per_s * this->window.count()); }

  private:
    seconds window;
    seconds boundary;
    std::mutex mutex;
    std::map<std::pair<std::uint32_t, std::int64_t>, std::uint64_t> counts;
};

class always_ready : public endpoint_state {
  public:
    [[nodiscard]] bool is_ready() const override { return true; }
};

/// Arrival times of one workspace, relative to the start.
std::vector<seconds> arrivals(double rate, seconds from, seconds to, std::uint64_t seed) {
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> gap{rate};
    std::vector<seconds> times;
    for (seconds at = from + seconds{gap(random)}; at < to; at += seconds{gap(random)}) {
        times.push_back(at);
    }
    return times;
}

/// The scheduler of one agent and the senders of all workspaces.
class experiment {
  public:
    explicit experiment(scheme tested)
        : compared(std::move(tested)), window(this->compared.window, flood_start + this->compared.to_boundary),
          begin(this->time.now()) {}

    /// Sends the requests of a workspace at their arrival times, or later when no sender is free.
    void start(std::uint32_t workspace, std::vector<seconds> times, std::uint32_t senders) {
        sender_group& group = this->groups.at(workspace);
        group.arrivals = std::move(times);
        group.outcomes.resize(group.arrivals.size());
        for (std::uint32_t i = 0; i < senders; ++i) {
            this->threads.emplace_back([this, workspace] { this->send_all(workspace); });
        }
    }

    void wait() {
        for (std::thread& thread : this->threads) {
            thread.join();
        }
    }

    [[nodiscard]] const std::vector<outcome>& outcomes(std::uint32_t workspace) const {
        return this->groups.at(workspace).outcomes;
    }

  private:
    struct sender_group {
        std::vector<seconds> arrivals;
        std::vector<outcome> outcomes;
        std::atomic<std::size_t> next{0};
    };

    void send_all(std::uint32_t workspace) {
        sender_group& group = this->groups.at(workspace);
        for (std::size_t i = group.next++; i < group.arrivals.size(); i = group.next++) {
            const seconds at = group.arrivals[i];
            std::this_thread::sleep_until(this->begin + std::chrono::duration_cast<steady_time::duration>(at));
            group.outcomes[i] = this->send(workspace, at);
        }
    }

    outcome send(std::uint32_t workspace, seconds arrival) {
        outcome observed;
        observed.arrival = arrival;
        observed.admitted = this->window.admit(workspace, arrival);
        if (!observed.admitted) {
            return observed;
        }
        queue_item item;
        item.workspace = this->compared.fair ? std::to_string(workspace) : "all";
        item.work = this->scheduler.work(this->size);
        item.latest_start = this->time.now() + deadline;
        if (refuse_if_late(this->scheduler.estimate(item, this->size).wait, deadline)) {
            return observed;
        }
        const result<ticket> issued = this->tickets.issue("digest");
        if (!issued || !this->tickets.present(*issued, "digest")) {
            return observed;
        }
        item.id = *issued;
        observed.served = this->scheduler.wait_for_slot(
                              item, this->size, [] { return false; }, [] {}) == slot_wait_state::granted;
        if (observed.served) {
            observed.wait = this->time.now() - this->begin - arrival;
            std::this_thread::sleep_for(service_time);
            this->scheduler.release(item.id, true);
            this->tickets.finish(item.id);
        }
        return observed;
    }

    // One prompt token and one output token together take the service time.
    request_size size{0, 0, 1};
    system_clock time;
    always_ready endpoint;
    suspect_list suspects{time};
    ticket_table tickets{time, 1};
    load_model load{time, {slots, 1.0, static_cast<double>(service_time.count())}};
    run_scheduler scheduler{time, slots, tickets, load, suspects, endpoint};
    scheme compared;
    fixed_window window;
    steady_time begin;
    std::array<sender_group, workspaces> groups;
    std::vector<std::thread> threads;
};

double quantile_ms(std::vector<seconds> waits, double fraction) {
    constexpr double ms_per_s = 1000.0;
    if (waits.empty()) {
        return 0.0;
    }
    std::sort(waits.begin(), waits.end());
    return waits[static_cast<std::size_t>(fraction * static_cast<double>(waits.size() - 1))].count() * ms_per_s;
}

void print_others(const std::string& phase, const experiment& run, seconds from, seconds to) {
    std::vector<seconds> waits;
    std::size_t sent = 0;
    for (std::uint32_t workspace = 1; workspace < workspaces; ++workspace) {
        for (const outcome& observed : run.outcomes(workspace)) {
            if (observed.arrival >= from && observed.arrival < to) {
                ++sent;
                if (observed.served) {
                    waits.push_back(observed.wait);
                }
            }
        }
    }
    std::cout << "  others " << phase << ": sent " << sent << ", refused " << sent - waits.size() << ", wait p50 "
              << quantile_ms(waits, 0.5) << " ms, p95 " << quantile_ms(waits, 0.95) << " ms\n";
}

/// @returns the largest number of requests that were admitted within any interval of `length`
std::size_t largest_burst(const std::vector<outcome>& outcomes, seconds length) {
    std::vector<seconds> admitted;
    for (const outcome& observed : outcomes) {
        if (observed.admitted) {
            admitted.push_back(observed.arrival);
        }
    }
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= length) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

std::size_t served_count(const std::vector<outcome>& outcomes) {
    return static_cast<std::size_t>(
        std::count_if(outcomes.begin(), outcomes.end(), [](const outcome& observed) { return observed.served; }));
}

void run_flood(const scheme& compared, std::uint64_t seed) {
    const seconds end = flood_start + flood_duration;
    experiment run{compared};
    const double moderate_rate = moderate_load * capacity_per_s / (workspaces - 1);
    for (std::uint32_t workspace = 1; workspace < workspaces; ++workspace) {
        run.start(workspace, arrivals(moderate_rate, seconds{0.0}, end, seed + workspace), moderate_senders);
    }
    run.start(0, arrivals(flood_factor * share_per_s, flood_start, end, seed), flood_senders);
    run.wait();
    print_others("before the flood", run, seconds{1.0}, flood_start);
    print_others("during the flood", run, flood_start, end);
    const std::vector<outcome>& flood = run.outcomes(0);
    std::cout << "  flood: sent " << flood.size() << ", served " << served_count(flood);
    if (compared.window.count() > 0.0) {
        const fixed_window limit{compared.window, seconds{0.0}};
        std::cout << ", limit " << limit.limit() << " in " << compared.window.count() << " s, most admitted in one "
                  << "window's length " << largest_burst(flood, compared.window);
    }
    std::cout << std::endl;
}

void run_alone(const scheme& compared, std::uint64_t seed) {
    experiment run{compared};
    run.start(0, arrivals(flood_factor * share_per_s, seconds{0.0}, idle_duration, seed), flood_senders);
    run.wait();
    std::cout << "  alone for " << idle_duration.count() << " s: sent " << run.outcomes(0).size() << ", served "
              << served_count(run.outcomes(0)) << std::endl;
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::cout << std::fixed << std::setprecision(1);
    const std::vector<scheme> schemes{
        {"weighted fair queue, bounded by deadlines", true, seconds{0.0}, seconds{0.0}},
        {"first-in first-out, bounded by deadlines", false, seconds{0.0}, seconds{0.0}},
        {"fixed window 60 s", false, seconds{60.0}, seconds{6.0}},
        {"fixed window 1 s", false, seconds{1.0}, seconds{0.12}},
    };
    for (const scheme& tested : schemes) {
        std::cout << tested.name << ", seed " << seed << '\n';
        run_flood(tested, seed);
        run_alone(tested, seed);
    }
    return EXIT_SUCCESS;
}
