// Measures the latency that entry and agent add to a request, the load that one entry handles, and the memory of the
// entry at the declared size.

#include "support/deployment.h"
#include "support/standin_responses.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace pomelohoist::test_support;
using pomelohoist::net_address;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr int latency_requests = 2000;
constexpr int short_requests_per_second = 500;
constexpr int open_streams = 300;
constexpr int load_seconds = 10;
constexpr int short_senders = 40;
constexpr std::uint32_t stream_tokens = 240;
constexpr int declared_workspaces = 15000;
constexpr int declared_endpoints = 1400;
// SHA-256 of "workspace-key".
const std::string key_digest = "3a62bd7109ab344ae2b2f1d77f954e1712048fd887b6337a83a92b2891c78d8a";
const std::string key = "workspace-key";

/// Durations in milliseconds, sorted by `quantile`.
struct distribution {
    std::vector<double> values;

    void add(std::chrono::microseconds duration) {
        constexpr double microseconds_per_millisecond = 1000.0;
        this->values.push_back(static_cast<double>(duration.count()) / microseconds_per_millisecond);
    }
    double quantile(double fraction) {
        std::sort(this->values.begin(), this->values.end());
        const auto index = static_cast<std::size_t>(fraction * static_cast<double>(this->values.size() - 1));
        return this->values.empty() ? 0.0 : this->values.at(index);
    }
};

void start_programs(deployment& cluster) {
    cluster.start_platform();
    for (int i = 1; i <= 4; ++i) {
        cluster.start_endpoint({"model-" + std::to_string(i),
                                "model",
                                "model-a",
                                "",
                                0,
                                "dc-1",
                                "",
                                "label.pool = drafting\n",
                                {"--token-ms", "40"},
                                100});
    }
    for (int i = 1; i <= 4; ++i) {
        cluster.start_endpoint(
            {"service-" + std::to_string(i), "service", "service-a", "", 0, "dc-1", "", "label.pool = desk\n", {}});
    }
    cluster.start_entry("entry-1", "dc-1");
    const process_outcome applied =
        cluster.apply("[workspace.team]\nkey_sha256 = " + key_digest + "\n[application.drafts]\nlabel.class = draft\n" +
                      "[application.desk]\nlabel.class = desk\n" +
                      "[selector.drafts]\nworkspaces = *\napplications = class=draft\nendpoints = pool=drafting\n" +
                      "[selector.desk]\nworkspaces = *\napplications = class=desk\nendpoints = pool=desk\n" +
                      cluster.endpoint_declarations());
    if (applied.exit_status != 0) {
        throw std::runtime_error("declarations were not accepted: " + applied.output);
    }
}

http_request short_request(bool through_entry) {
    http_request request;
    request.path = through_entry ? "/services/service-a/stock" : "/stock";
    request.headers = {{"Authorization", "Bearer " + key}, {"X-Pomelohoist-Application", "desk"}};
    return request;
}

void measure_latency(deployment& cluster) {
    distribution direct;
    distribution through;
    int failed = 0;
    const net_address service = cluster.endpoints().back()->standin.http;
    const net_address entry = cluster.entries().front().http;
    for (int i = 0; i < latency_requests; ++i) {
        const http_response first = send_http(service, short_request(false));
        const http_response second = send_http(entry, short_request(true));
        failed += first.status == 200 && second.status == 200 ? 0 : 1;
        direct.add(first.total);
        through.add(second.total);
    }
    std::cout << "latency of " << latency_requests << " short requests, ms: direct p50 " << direct.quantile(0.5)
              << " p99 " << direct.quantile(0.99) << "; through entry and agent p50 " << through.quantile(0.5)
              << " p99 " << through.quantile(0.99) << "; added p50 " << through.quantile(0.5) - direct.quantile(0.5)
              << " (target 2) p99 " << through.quantile(0.99) - direct.quantile(0.99) << " (target 10); failed "
              << failed << std::endl;
}

/// Opens streams and sends short requests at a fixed rate, regardless of the responses.
void measure_load(deployment& cluster) {
    const net_address entry = cluster.entries().front().http;
    std::atomic<int> complete_streams{0};
    std::vector<std::thread> threads;
    threads.reserve(open_streams + short_senders);
    for (int i = 0; i < open_streams; ++i) {
        threads.emplace_back([&, i] {
            const draft call{key, "model-a", "drafts", "stream " + std::to_string(i), stream_tokens, true, ""};
            http_request request = to_request(call);
            request.timeout = 60s;
            complete_streams += is_full_response(call, send_http(entry, request)) ? 1 : 0;
        });
    }
    std::this_thread::sleep_for(500ms);
    std::mutex mutex;
    distribution latencies;
    std::atomic<int> succeeded{0};
    std::atomic<int> failed{0};
    const auto begin = steady::now();
    const auto interval = std::chrono::microseconds{1s} * short_senders / short_requests_per_second;
    const int per_sender = short_requests_per_second * load_seconds / short_senders;
    for (int sender = 0; sender < short_senders; ++sender) {
        threads.emplace_back([&, sender] {
            const auto first = begin + interval * sender / short_senders;
            for (int i = 0; i < per_sender; ++i) {
                const auto due = first + interval * i;
                std::this_thread::sleep_until(due);
                const bool is_success = send_http(entry, short_request(true)).status == 200;
                (is_success ? succeeded : failed) += 1;
                const std::lock_guard lock{mutex};
                // The latency counts from the time at which the request was due, so that a slow response does not hide
                // the delay of later requests.
                latencies.add(std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - due));
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::cout << "one entry with " << open_streams << " open streams and " << short_requests_per_second
              << " short requests/s for " << load_seconds << " s: answered " << succeeded << ", failed " << failed
              << ", p50 " << latencies.quantile(0.5) << " ms, p99 " << latencies.quantile(0.99) << " ms; whole streams "
              << complete_streams << " of " << open_streams << std::endl;
}

double resident_megabytes(pid_t process) {
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    std::string line;
    constexpr double kilobytes_per_megabyte = 1024.0;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::stod(line.substr(line.find_first_of("0123456789"))) / kilobytes_per_megabyte;
        }
    }
    return 0.0;
}

std::string size_declarations() {
    std::ostringstream text;
    for (int i = 0; i < declared_workspaces; ++i) {
        std::string digest = std::to_string(i);
        digest.insert(0, key_digest.size() - digest.size(), '0');
        text << "[workspace.workspace-" << i << "]\nkey_sha256 = " << digest << "\nlabel.size = small\n";
    }
    for (int i = 0; i < declared_endpoints; ++i) {
        text << "[endpoint.declared-" << i << "]\nkind = model\nagent = 127.250." << i / 250 << "." << 1 + i % 250
             << ":7000\ndata_centre = dc-" << i % 22 << "\nhost = host-" << i << "\nserves = model-" << i % 7
             << "\nlabel.pool = drafting-" << i % 7 << "\n";
    }
    return text.str();
}

void measure_memory(deployment& cluster) {
    const pid_t process = cluster.entries().front().process->id();
    const double before = resident_megabytes(process);
    const std::string file = cluster.work_folder() + "/size.ini";
    std::ofstream{file} << size_declarations();
    const process_outcome applied = cluster.operate({"apply", file});
    std::this_thread::sleep_for(5s);
    std::cout << "memory of the entry after the load: " << before << " MB; with " << declared_workspaces
              << " workspaces and " << declared_endpoints << " endpoints declared (exit " << applied.exit_status
              << "): " << resident_megabytes(process) << " MB (target 64)" << std::endl;
}

} // namespace

int main(int /*argc*/, char** argv) {
    const std::string binary = argv[0];
    const std::string binaries = binary.substr(0, binary.rfind('/'));
    try {
        std::filesystem::remove_all(binaries + "/../path-benchmark");
        deployment cluster{binaries, binaries + "/../path-benchmark"};
        start_programs(cluster);
        measure_latency(cluster);
        measure_load(cluster);
        measure_memory(cluster);
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
