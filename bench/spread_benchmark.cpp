#include "spread/configuration_codec.h"
#include "spread/configuration_spreader.h"
#include "spread/configuration_state.h"

#include "platform/memory_table.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

/// Processor time of configuration propagation at the design scale: 15,000 workspaces, 1,400 endpoints.
namespace pomelohoist {
namespace {

constexpr std::size_t workspace_count = 15000;
constexpr std::size_t endpoint_count = 1400;
constexpr std::size_t digest_digits = 64;

object_map make_objects() {
    object_map objects;
    for (std::size_t i = 0; i < workspace_count; ++i) {
        const std::string number = std::to_string(i);
        objects[{object_kind::workspace, "workspace-" + number}].values = {
            {"key_sha256", std::string(digest_digits - number.size(), '0') + number},
            {"label.size", i % 8 == 0 ? "large" : "small"}};
    }
    for (std::size_t i = 0; i < endpoint_count; ++i) {
        objects[{object_kind::endpoint, "endpoint-" + std::to_string(i)}].values = {
            {"kind", "model"},
            {"agent", "127.0.0.1:" + std::to_string(10000 + i)},
            {"data_centre", "centro-" + std::to_string(i % 3 + 1)},
            {"host", "host-" + std::to_string(i)},
            {"serves", "escriba"}};
    }
    objects[{object_kind::application, "drafts"}].values = {{"label.class", "draft"}};
    objects[{object_kind::selector, "all"}].values = {{"workspaces", "*"}, {"applications", "*"}, {"endpoints", "*"}};
    return objects;
}

const configuration& base() {
    static const result<configuration> built = configuration::build(1, make_objects());
    return *built;
}

configuration_delta make_delta(std::uint64_t version) {
    const std::string before = std::to_string(version - 1);
    return {version,
            {"change " + std::to_string(version),
             {{{object_kind::workspace, "workspace-7"},
               "label.version",
               version == 2 ? std::nullopt : std::optional{before},
               std::to_string(version)}}}};
}

class no_hosts : public host_list {
  public:
    result<host_list_content> read_hosts() override { return host_list_content{}; }
};

/// A spreader that is not started; its handlers can be called without its threads.
struct idle_spreader {
    memory_table table;
    memory_objects objects;
    no_hosts hosts;
    fixed_peers directory{{}};
    system_clock time;
    seeded_random random{1};
    structured_log log{make_null_log()};
    inner::datagram_endpoint calls{{"127.0.0.1", 0}, "bench", this->time};
    configuration_spreader spreader{spreader_services{this->table, this->objects, this->hosts, this->directory,
                                                      this->calls, this->time, this->random, this->log},
                                    spreader_identity{{"127.0.0.1", 1}, "centro-1", "bench"}};
};

/// Decoding, serving and encoding of one announcement and its response, and the selection of peers for the next
/// announcement.
void announce_cost(benchmark::State& state) {
    idle_spreader process;
    peer_set peers{process.time, {"127.0.0.1", 1}, "centro-1"};
    peers.set_declared(base());
    const std::string bytes = inner::encode(inner::announce{{"127.0.0.1", 2}, "centro-2", 0, 0});
    for (auto step : state) {
        (void)step;
        const auto received = inner::decode<inner::announce>(bytes);
        benchmark::DoNotOptimize(inner::to_payload(process.spreader.handle_announce(*received)));
        benchmark::DoNotOptimize(peers.choose(config::announce_peers, process.random));
    }
}
BENCHMARK(announce_cost);

/// Two processes over loopback: one call and its response, with the processor time of all threads.
void announce_over_loopback(benchmark::State& state) {
    class server : public inner::datagram_handler {
      public:
        inner::payload handle_datagram(const inner::packet& /*request*/) override {
            return inner::to_payload(inner::announce_response{1, 0});
        }
    };
    const system_clock time;
    server handler;
    inner::datagram_endpoint receiver{{"127.0.0.1", 0}, "receiver", time};
    inner::datagram_endpoint sender{{"127.0.0.1", 0}, "sender", time};
    receiver.start(&handler);
    sender.start(nullptr);
    const inner::payload content = inner::to_payload(inner::announce{{"127.0.0.1", 2}, "centro-2", 1, 0});
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(sender.call(receiver.local_address(), content, std::chrono::milliseconds{500}));
    }
    sender.stop();
    receiver.stop();
}
BENCHMARK(announce_over_loopback)->MeasureProcessCPUTime()->UseRealTime();

/// Applying one delta at the receiver: decode, apply, publish.
void pulled_delta_cost(benchmark::State& state) {
    configuration_state receiver;
    receiver.apply_configuration(base());
    std::uint64_t version = 1;
    for (auto step : state) {
        (void)step;
        ++version;
        inner::pull_response response;
        response.configuration_version = version;
        response.deltas = {encode_delta(make_delta(version))};
        if (!receiver.apply_response(response)) {
            state.SkipWithError("delta refused");
            return;
        }
    }
}
BENCHMARK(pulled_delta_cost)->Unit(benchmark::kMillisecond);

/// Setting the agents of the declared endpoints as peers, which happens once for each version.
void declared_peers_cost(benchmark::State& state) {
    const system_clock time;
    peer_set peers{time, {"127.0.0.1", 1}, "centro-1"};
    for (auto step : state) {
        (void)step;
        peers.set_declared(base());
    }
}
BENCHMARK(declared_peers_cost)->Unit(benchmark::kMillisecond);

/// Serving a pull with one recent delta.
void served_delta_cost(benchmark::State& state) {
    configuration_state sender;
    sender.apply_configuration(base());
    sender.apply_deltas({make_delta(2)});
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(inner::encode(sender.serve_pull({1, 0})));
    }
}
BENCHMARK(served_delta_cost);

void encoded_snapshot_cost(benchmark::State& state) {
    std::size_t bytes = 0;
    for (auto step : state) {
        (void)step;
        bytes = encode_configuration(base()).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encoded_snapshot_cost)->Unit(benchmark::kMillisecond);

/// Applying a snapshot at the receiver: decode, build, publish.
void taken_snapshot_cost(benchmark::State& state) {
    inner::pull_response response;
    response.configuration_version = 1;
    response.snapshot = encode_configuration(base());
    for (auto step : state) {
        (void)step;
        configuration_state receiver;
        benchmark::DoNotOptimize(receiver.apply_response(response));
    }
}
BENCHMARK(taken_snapshot_cost)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace pomelohoist

BENCHMARK_MAIN();
