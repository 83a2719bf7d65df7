#include "replay/trace_generator.h"

#include <pomelohoist/expert_balance.h>

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <vector>

/// Planning time of the adaptive policy. Arguments: ranks, experts, layers, slots of a rank in each layer.
namespace {

using namespace pomelohoist;

constexpr std::uint32_t observed_steps = 8;
// Copies per step, high enough that the pacing of the weight store does not shorten the plan.
constexpr double fast_store = 64.0;

/// A group with observed load under its initial map and options that let a plan use its full copy budget.
struct observed_group {
    expert_shape shape;
    balance_options options;
    expert_map map;
    std::vector<trace_step> steps;

    explicit observed_group(const benchmark::State& state)
        : shape{static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)),
                static_cast<std::uint32_t>(state.range(2)), static_cast<std::uint32_t>(state.range(3))},
          map(shape) {
        this->options.copies_per_step = fast_store;
        this->options.move_weight = 0.0;
        this->options.noise_margin = 0.0;
        generator_options trace_options;
        trace_options.shape = this->shape;
        trace_options.steps = observed_steps;
        trace_generator generator{trace_options};
        for (auto step = generator.next(); step && *step; step = generator.next()) {
            this->steps.push_back(**step);
        }
    }

    [[nodiscard]] std::unique_ptr<expert_balancer> make_balancer() const {
        auto balancer = make_adaptive_balancer(this->shape, this->options);
        for (const trace_step& step : this->steps) {
            balancer->observe(step.tokens, rank_loads(this->map, step.tokens), this->map);
        }
        return balancer;
    }
};

void plan_moves(benchmark::State& state) {
    const observed_group group{state};
    std::size_t moves = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const std::unique_ptr<expert_balancer> balancer = group.make_balancer();
        state.ResumeTiming();
        moves = balancer->plan(group.map).size();
        benchmark::DoNotOptimize(moves);
    }
    state.counters["moves"] = static_cast<double>(moves);
}

void observe_step(benchmark::State& state) {
    const observed_group group{state};
    const std::unique_ptr<expert_balancer> balancer = group.make_balancer();
    const trace_step& step = group.steps.front();
    const std::vector<double> times = rank_loads(group.map, step.tokens);
    for (auto _ : state) {
        balancer->observe(step.tokens, times, group.map);
    }
}

void set_sizes(benchmark::internal::Benchmark* bench) {
    bench->ArgNames({"ranks", "experts", "layers", "slots"})->Unit(benchmark::kMillisecond);
    bench->Args({256, 256, 58, 2}); // design scale, target 100 ms
    bench->Args({256, 256, 58, 1});
    for (const std::int64_t ranks : {64, 128, 512}) {
        bench->Args({ranks, 256, 58, ranks == 64 ? 5 : 2 + (ranks == 128 ? 1 : 0)});
    }
    for (const std::int64_t experts : {64, 128, 512}) {
        bench->Args({256, experts, 58, experts == 512 ? 3 : 2});
    }
    for (const std::int64_t layers : {4, 15, 29, 116}) {
        bench->Args({256, 256, layers, 2});
    }
}

BENCHMARK(plan_moves)->Apply(set_sizes);
BENCHMARK(observe_step)->Apply(set_sizes);

} // namespace

BENCHMARK_MAIN();
