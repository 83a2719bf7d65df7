#include "capacity/cluster.h"
#include "capacity/fake_peer.h"
#include "support/standin_responses.h"

#include <array>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace pomelohoist::capacity {

namespace {

using namespace std::chrono_literals;
using test_support::deployment;
using test_support::http_request;

constexpr std::size_t declared_workspaces = 15000;
constexpr std::size_t declared_endpoints = 1400;
constexpr std::size_t digest_digits = 64;
constexpr std::uint32_t memory_stream_tokens = 60;
constexpr int chunk_streams = 100;
constexpr auto stream_sample_time = 1500ms;
constexpr auto reserve_timeout = 300ms;
constexpr std::uint32_t reserve_deadline_ms = 60000;

/// Entry, an agent with a model engine, and an agent with a service, at the declared size.
class request_costs {
  public:
    request_costs(const run_folders& folders, report& output)
        : table(output), cluster(make_deployment(folders, "requests")), meter(this->start()) {}

    void measure_short_requests() {
        this->table.begin("Requests (15,000 workspaces, 1,400 endpoints declared)");
        for (const int number : {300, 600, 1200}) {
            this->meter.run(number, [&] { this->send_short(number, ""); });
        }
        this->add("short request", service_agent);
        this->table.add_samples("entry, idle", "ms/s", {this->meter.idle(entry)});
        this->table.add_samples("agent of a model, idle", "ms/s", {this->meter.idle(model_agent)});
    }

    void measure_keyed_requests() {
        std::vector<point> reads;
        std::vector<point> writes;
        int round = 0;
        for (const int number : {100, 200, 400}) {
            const store_access before = this->claims();
            this->meter.run(number, [&] { this->send_short(number, "key-" + std::to_string(++round)); });
            const store_access after = this->claims();
            reads.push_back({static_cast<double>(number), after.reads - before.reads});
            writes.push_back({static_cast<double>(number), after.writes - before.writes});
        }
        this->add("keyed non-idempotent request", service_agent);
        this->table.add_slope("store reads per keyed request", "rows", reads);
        this->table.add_slope("store writes per keyed request", "rows", writes);
    }

    void measure_reserves() {
        std::atomic<int> offers{0};
        std::vector<point> sender;
        int sent = 0;
        for (const int number : {1000, 2000, 4000}) {
            const double before = processor_ms(getpid());
            this->meter.run(number, [&] { offers += this->reserve_and_cancel(number); });
            sender.push_back({static_cast<double>(number), processor_ms(getpid()) - before});
            sent += number;
        }
        this->table.add_slope("agent, processor time per reserve and cancel", "ms", this->meter.points(model_agent));
        this->table.add_slope("sender, processor time per reserve and cancel", "ms", sender);
        this->table.add_samples("offers among the reserves", "%", {100.0 * offers / sent});
        this->meter.clear();
    }

    void measure_announcements() {
        for (const int number : {1000, 2000, 4000}) {
            this->meter.run(number, [&] {
                for (int i = 0; i < number; ++i) {
                    this->peer.announce_to(this->agent_address());
                }
            });
        }
        this->table.add_slope("agent, processor time per announcement received", "ms", this->meter.points(model_agent));
        this->meter.clear();
    }

    void measure_stream_memory() {
        const pid_t entry_process = this->processes().at(entry);
        const pid_t agent_process = this->processes().at(model_agent);
        std::vector<point> entry_memory{{0.0, memory_kilobytes(entry_process)}};
        std::vector<point> agent_memory{{0.0, memory_kilobytes(agent_process)}};
        for (const int number : {75, 150, 300}) {
            std::thread sampler{[&] {
                std::this_thread::sleep_for(stream_sample_time);
                entry_memory.push_back({static_cast<double>(number), memory_kilobytes(entry_process)});
                agent_memory.push_back({static_cast<double>(number), memory_kilobytes(agent_process)});
            }};
            this->stream(number, memory_stream_tokens);
            sampler.join();
        }
        this->table.add_slope("entry, memory per open stream", "KB", entry_memory);
        this->table.add_slope("agent, memory per open stream", "KB", agent_memory);
        this->table.add_samples("entry, memory after the streams", "KB", {memory_kilobytes(entry_process)});
    }

    void measure_chunks() {
        for (const std::uint32_t tokens : {25U, 50U, 100U}) {
            this->meter.run(chunk_streams * tokens, [&] { this->stream(chunk_streams, tokens); });
        }
        this->add("streamed chunk", model_agent);
    }

    void measure_versions() {
        for (const bool as_snapshot : {false, true}) {
            const std::array<int, 3> numbers =
                as_snapshot ? std::array<int, 3>{4, 8, 16} : std::array<int, 3>{25, 50, 100};
            for (const int number : numbers) {
                this->meter.run(number, [&] {
                    for (int i = 0; i < number; ++i) {
                        this->peer.publish_next({this->cluster.entries().front().inner, this->agent_address()},
                                                as_snapshot);
                    }
                });
            }
            this->add(as_snapshot ? "snapshot pulled" : "delta pulled", model_agent);
            const inner::pull_response response = this->pull_from_peer(as_snapshot);
            this->table.add_samples(as_snapshot ? "size of a snapshot" : "size of a delta of one label", "bytes",
                                    {static_cast<double>(inner::encode(response).size())});
        }
        this->table.add_samples("entry, memory at the end", "KB", {memory_kilobytes(this->processes().at(entry))});
        this->table.add_samples("agent, memory at the end", "KB",
                                {memory_kilobytes(this->processes().at(model_agent))});
    }

  private:
    static constexpr std::size_t entry = 0;
    static constexpr std::size_t model_agent = 1;
    static constexpr std::size_t service_agent = 2;

    processor_meter start() {
        this->cluster.start_platform();
        this->cluster.start_endpoint(
            {"model-1", "model", "model-a", "", 0, "dc-1", "", "label.pool = drafting\n", {"--token-ms", "40"}, 400});
        this->cluster.start_endpoint(
            {"service-1", "service", "service-a", "", 0, "dc-1", "", "label.pool = desk\n", {}, 8});
        this->cluster.start_entry("entry-1", "dc-1");
        apply_file(this->cluster, base_declarations() + this->cluster.endpoint_declarations());
        apply_file(this->cluster,
                   declare_workspaces(0, declared_workspaces) + declare_endpoints(0, declared_endpoints));
        this->peer.publish_newest(this->cluster.platform().http,
                                  {this->cluster.entries().front().inner, this->agent_address(),
                                   this->cluster.endpoints().back()->agent.inner});
        std::this_thread::sleep_for(1s);
        return processor_meter{this->processes()};
    }

    std::vector<pid_t> processes() {
        return {this->cluster.entries().front().process->id(), this->cluster.endpoints().front()->agent.process->id(),
                this->cluster.endpoints().back()->agent.process->id()};
    }

    net_address agent_address() { return this->cluster.endpoints().front()->agent.inner; }

    store_access claims() { return read_store_accesses(this->cluster.platform().http)["claim"]; }

    inner::pull_response pull_from_peer(bool as_snapshot) {
        const std::uint64_t base_version = as_snapshot ? 0 : this->peer.version() - 1;
        const auto response = inner::call_stream<inner::pull_response>(this->peer.address(), "capacity",
                                                                       inner::pull_request{base_version, 0}, 2s);
        return response ? *response : inner::pull_response{};
    }

    void add(const std::string& figure, std::size_t agent) {
        this->table.add_slope("entry, processor time per " + figure, "ms", this->meter.points(entry));
        this->table.add_slope("agent, processor time per " + figure, "ms", this->meter.points(agent));
        this->meter.clear();
    }

    /// @param key_prefix prefix of the idempotency keys; empty for requests without a key
    void send_short(int number, const std::string& key_prefix) {
        http_request request;
        request.path = "/services/service-a/stock";
        request.headers = {{"Authorization", "Bearer " + team_key}, {"X-Pomelohoist-Application", "desk"}};
        for (int i = 0; i < number; ++i) {
            if (!key_prefix.empty()) {
                request.method = "POST";
                request.body = "{}";
                request.headers["Idempotency-Key"] = key_prefix + "-" + std::to_string(i);
            }
            if (test_support::send_http(this->cluster.entries().front().http, request).status != 200) {
                throw std::runtime_error("a short request failed");
            }
        }
    }

    /// @returns the number of accepted reserves
    int reserve_and_cancel(int number) {
        inner::reserve_request request;
        request.workspace = "team";
        request.application = "drafts";
        request.configuration_version = this->peer.version();
        request.sender_address = this->peer.address();
        request.prompt_tokens = 100;
        request.max_output_tokens = 100;
        request.deadline_ms = reserve_deadline_ms;
        int offers = 0;
        for (int i = 0; i < number; ++i) {
            const std::string digits = std::to_string(i);
            request.request_id = "reserve-" + digits;
            request.digest = std::string(digest_digits - digits.size(), '0') + digits;
            const auto response = inner::call_datagram<inner::reserve_response>(
                this->peer.calls(), this->agent_address(), request, reserve_timeout);
            if (response && response->accepted) {
                ++offers;
                inner::call_datagram<inner::cancel_response>(this->peer.calls(), this->agent_address(),
                                                             inner::cancel_request{response->accepted->granted, false},
                                                             reserve_timeout);
            }
        }
        return offers;
    }

    void stream(int number, std::uint32_t tokens) {
        std::vector<std::thread> callers;
        std::atomic<int> complete{0};
        callers.reserve(static_cast<std::size_t>(number));
        for (int i = 0; i < number; ++i) {
            callers.emplace_back([&, i] {
                const test_support::draft call{team_key, "model-a", "drafts", "stream " + std::to_string(i),
                                               tokens,   true,      ""};
                http_request request = to_request(call);
                request.timeout = 60s;
                complete += is_full_response(call, send_http(this->cluster.entries().front().http, request)) ? 1 : 0;
            });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        if (complete != number) {
            throw std::runtime_error("only " + std::to_string(complete) + " of " + std::to_string(number) +
                                     " streams were complete");
        }
    }

    report& table;
    deployment cluster;
    fake_peer peer;
    processor_meter meter; ///< initialized by `start`, which uses the members above
};

} // namespace

void measure_requests(const run_folders& folders, report& table) {
    request_costs costs{folders, table};
    costs.measure_short_requests();
    costs.measure_keyed_requests();
    costs.measure_reserves();
    costs.measure_announcements();
    costs.measure_stream_memory();
    costs.measure_chunks();
    costs.measure_versions();
}

} // namespace pomelohoist::capacity
