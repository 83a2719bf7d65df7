#include "../tests/declaration/example_objects.h"

#include <benchmark/benchmark.h>

/// Configuration at the design scale: 15,000 workspaces and 1,400 endpoints.
namespace pomelohoist {
namespace {

constexpr std::size_t workspaces = 15000;
constexpr std::size_t endpoints = 1400;

const configuration& large_configuration() {
    static const result<configuration> built = configuration::build(1, make_example_objects(workspaces, endpoints));
    return *built;
}

void build(benchmark::State& state) {
    const object_map objects = make_example_objects(workspaces, endpoints);
    for (auto _ : state) {
        benchmark::DoNotOptimize(configuration::build(1, objects));
    }
}

void apply_label(benchmark::State& state, const object_key& key) {
    const configuration_delta delta{2, {"c", {{key, "label.note", std::nullopt, "x"}}}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(large_configuration().apply(delta));
    }
}

void reachable_warm(benchmark::State& state) {
    const configuration& current = large_configuration();
    std::size_t number = 0;
    for (auto _ : state) {
        const std::string name = "workspace-" + std::to_string(number++ % workspaces);
        benchmark::DoNotOptimize(current.reachable(name, "drafts", endpoint_kind::model, "design-llm"));
    }
}

void may_reach(benchmark::State& state) {
    const configuration& current = large_configuration();
    for (auto _ : state) {
        benchmark::DoNotOptimize(current.may_reach("workspace-8", "drafts", "endpoint-700"));
    }
}

BENCHMARK(build)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(apply_label, workspace, object_key{object_kind::workspace, "workspace-8"})
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(apply_label, endpoint, object_key{object_kind::endpoint, "endpoint-8"})
    ->Unit(benchmark::kMillisecond);
BENCHMARK(reachable_warm)->Unit(benchmark::kMicrosecond);
BENCHMARK(may_reach)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace pomelohoist

BENCHMARK_MAIN();
