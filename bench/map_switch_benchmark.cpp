#include "group/switch_coordinator.h"
#include "group/switch_recovery.h"
#include "inner/datagram_endpoint.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <barrier>
#include <memory>
#include <thread>
#include <vector>

/// Time, messages and bytes of a map switch, and the stall that it causes in the steps. All participants run in one
/// process and exchange datagrams over the loopback interface.
namespace pomelohoist {
namespace {

using steady = std::chrono::steady_clock;

constexpr map_start first_map{{1, 1}, 0};
constexpr std::chrono::milliseconds step_time{5};
constexpr std::chrono::microseconds poll_time{200};
constexpr double microseconds_per_millisecond = 1000.0;

class all_usable_maps : public map_contents {
  public:
    [[nodiscard]] bool is_usable(const map_id& /*map*/) const override { return true; }
};

/// Agent of a rank, with its own socket.
class bench_agent : public inner::datagram_handler {
  public:
    bench_agent(const group_position& position, const clock& time, const all_usable_maps& maps)
        : participant(position, time, this->gate, maps),
          calls({"127.0.0.1", 0}, "rank-" + std::to_string(position.rank) + "-agent", time) {
        this->calls.start(this);
    }
    inner::payload handle_datagram(const inner::packet& request) override {
        switch (request.type) {
        case inner::message_type::switch_prepare:
            return inner::to_payload(
                this->participant.handle_prepare(*inner::decode_body<inner::switch_prepare>(request)));
        case inner::message_type::switch_query:
            return inner::to_payload(this->participant.handle_query(*inner::decode_body<inner::switch_query>(request)));
        default:
            return inner::to_payload(
                this->participant.handle_decision(*inner::decode_body<inner::switch_decision>(request)));
        }
    }
    fencing_gate gate;
    switch_participant participant;
    inner::datagram_endpoint calls;
};

/// Calls the agents of the group and counts the messages and bytes sent and received, without retransmissions.
class counting_network : public group_network {
  public:
    counting_network(std::vector<std::unique_ptr<bench_agent>>& members, std::uint32_t rank)
        : agents(members), own_rank(rank) {}
    std::vector<result<inner::packet>> call_others(const inner::payload& content,
                                                   std::chrono::milliseconds timeout) override {
        std::vector<inner::datagram_call> requests;
        for (std::uint32_t rank = 0; rank < this->agents.size(); ++rank) {
            if (rank != this->own_rank) {
                requests.push_back({this->agents[rank]->calls.local_address(), content});
            }
        }
        auto responses = this->agents[this->own_rank]->calls.call_all(requests, timeout);
        const inner::packet request{config::protocol_version, content.type, 1, false, "rank-0-agent", content.body};
        this->messages += requests.size();
        this->bytes += requests.size() * inner::encode(request).size();
        for (const result<inner::packet>& response : responses) {
            if (response) {
                ++this->messages;
                this->bytes += inner::encode(*response).size();
            }
        }
        return responses;
    }
    std::uint64_t messages{0};
    std::uint64_t bytes{0};

  private:
    std::vector<std::unique_ptr<bench_agent>>& agents;
    std::uint32_t own_rank;
};

/// A group that has recovered and reported step 0.
class bench_group {
  public:
    explicit bench_group(std::uint32_t ranks) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            this->agents.push_back(
                std::make_unique<bench_agent>(group_position{"g", rank, ranks, rank + 1}, this->time, this->maps));
            this->agents.back()->participant.report({0, std::nullopt});
        }
        for (std::uint32_t round = 0; round < 2; ++round) {
            for (std::uint32_t rank = 0; rank < ranks; ++rank) {
                counting_network network{this->agents, rank};
                switch_recovery recovery{
                    {"g", rank, ranks, rank + 1}, this->agents[rank]->participant, network, [] { return first_map; }};
                recovery.run();
            }
        }
        this->running = std::vector<std::optional<map_start>>(ranks);
    }
    /// @returns true when the rank may start its next step
    bool start_step(std::uint32_t rank, std::uint64_t step) {
        const auto granted = this->agents[rank]->participant.grant_step({step, this->running[rank]});
        if (granted) {
            this->running[rank] = granted;
        }
        return granted.has_value();
    }
    system_clock time;
    all_usable_maps maps;
    std::vector<std::unique_ptr<bench_agent>> agents;
    std::vector<std::optional<map_start>> running;
};

void measure_switch(benchmark::State& state) {
    const auto ranks = static_cast<std::uint32_t>(state.range(0));
    bench_group group{ranks};
    counting_network network{group.agents, 0};
    switch_coordinator coordinator{{"g", 0, ranks, 1}, group.agents[0]->participant, network};
    std::uint64_t step = 0;
    std::uint64_t failed = 0;
    for (auto unused : state) {
        static_cast<void>(unused);
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            group.start_step(rank, step);
        }
        ++step;
        const map_start next{{step + 1, step + 1}, step};
        const auto begin = steady::now();
        const result<done> outcome = coordinator.run(1, next);
        bool granted = outcome.has_value();
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            granted = group.start_step(rank, step) && granted;
        }
        state.SetIterationTime(std::chrono::duration<double>(steady::now() - begin).count());
        failed += granted && group.running[ranks - 1] == next ? 0 : 1;
        ++step;
    }
    const auto rounds = static_cast<double>(state.iterations());
    state.counters["messages"] = static_cast<double>(network.messages) / rounds;
    state.counters["bytes"] = static_cast<double>(network.bytes) / rounds;
    state.counters["failed"] = static_cast<double>(failed);
}

/// Runs the ranks in lock-step, each in its own thread.
/// @returns the time of each step in microseconds
std::vector<double> run_steps(bench_group& group, std::uint64_t steps, std::atomic<std::uint64_t>& current) {
    std::vector<double> times;
    auto last = steady::now();
    std::barrier started{static_cast<std::ptrdiff_t>(group.agents.size()), [&times, &last, &current]() noexcept {
                             const auto now = steady::now();
                             times.push_back(std::chrono::duration<double, std::micro>(now - last).count());
                             last = now;
                             ++current;
                         }};
    std::vector<std::thread> ranks;
    for (std::uint32_t rank = 0; rank < group.agents.size(); ++rank) {
        ranks.emplace_back([&group, &started, rank, steps] {
            for (std::uint64_t step = 0; step < steps; ++step) {
                while (!group.start_step(rank, step)) {
                    std::this_thread::sleep_for(poll_time);
                }
                std::this_thread::sleep_for(step_time);
                started.arrive_and_wait();
            }
        });
    }
    for (std::thread& rank : ranks) {
        rank.join();
    }
    return times;
}

void measure_stall(benchmark::State& state) {
    const auto ranks = static_cast<std::uint32_t>(state.range(0));
    const auto lead = static_cast<std::uint64_t>(state.range(1));
    constexpr std::uint64_t steps = 400;
    constexpr std::uint64_t steps_between = 20;
    double stall_sum = 0;
    double stall_max = 0;
    double other_steps_max = 0;
    double switches = 0;
    for (auto unused : state) {
        static_cast<void>(unused);
        bench_group group{ranks};
        counting_network network{group.agents, 0};
        switch_coordinator coordinator{{"g", 0, ranks, 1}, group.agents[0]->participant, network};
        std::atomic<std::uint64_t> current{0};
        std::vector<std::uint64_t> switch_steps;
        std::thread switcher{[&] {
            for (std::uint64_t target_step = steps_between; target_step + steps_between < steps;
                 target_step += steps_between) {
                while (current < target_step) {
                    std::this_thread::sleep_for(poll_time);
                }
                const std::uint64_t from = group.agents[0]->participant.next_step() + lead;
                const auto active_start = group.agents[0]->participant.in_force();
                if (coordinator.run(1, {{active_start->map.version + 1, target_step}, from})) {
                    switch_steps.push_back(from);
                }
            }
        }};
        std::vector<double> times = run_steps(group, steps, current);
        switcher.join();
        std::vector<double> sorted = times;
        std::sort(sorted.begin(), sorted.end());
        const double median = sorted[sorted.size() / 2];
        for (const std::uint64_t from : switch_steps) {
            stall_sum += times[from] - median;
            stall_max = std::max(stall_max, times[from] - median);
            times[from] = 0;
        }
        other_steps_max = std::max(other_steps_max, *std::max_element(times.begin() + 1, times.end()) - median);
        switches += static_cast<double>(switch_steps.size());
    }
    state.counters["switches"] = switches;
    state.counters["mean_stall_ms"] = stall_sum / std::max(switches, 1.0) / microseconds_per_millisecond;
    state.counters["max_stall_ms"] = stall_max / microseconds_per_millisecond;
    state.counters["max_other_ms"] = other_steps_max / microseconds_per_millisecond;
}

// NOLINTBEGIN(cppcoreguidelines-avoid-non-const-global-variables)
BENCHMARK(measure_switch)
    ->Arg(8)
    ->Arg(16)
    ->Arg(32)
    ->Arg(64)
    ->Arg(128)
    ->Arg(256)
    ->UseManualTime()
    ->Iterations(200)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(measure_stall)->ArgsProduct({{8, 16, 32, 64}, {0, 1, 12}})->Iterations(1)->Unit(benchmark::kMillisecond);
// NOLINTEND(cppcoreguidelines-avoid-non-const-global-variables)

} // namespace
} // namespace pomelohoist

BENCHMARK_MAIN();
