#include "../support/case_run.h"
#include "../support/net.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

/// Streams while some servers send, now and then, bytes that are no answer in the body of a stream, without end.
namespace review {
namespace {

using namespace std::chrono_literals;

constexpr int entry_count = 3;
constexpr int server_count = 4;
constexpr int faulty_servers = 2;
constexpr int slots = 12;
constexpr int clients = 18;
constexpr int streams_of_client = 22;
constexpr int event_count = 28;
constexpr auto event_interval = 30ms;
constexpr int sound_events = 5;       ///< before the bytes that are no answer
constexpr int streams_per_fault = 34; ///< of a faulty server, one of which it spoils
constexpr int troubles = 3;
constexpr auto trouble_time = 5000ms;
constexpr auto trouble_interval = 7000ms;
constexpr auto warm_up = 1000ms;
constexpr std::size_t noise_block_bytes = 16384;
constexpr auto noise_interval = 10ms;
constexpr int timeout_ms = 8000;
constexpr auto stream_pause = 100ms;
constexpr auto answer_time = std::chrono::milliseconds{timeout_ms + 2000};

std::string event_of(const std::string& request_id, int number) {
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + request_id + "\n\n";
}

std::string chunk_of(const std::string& bytes) {
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return chunk.str();
}

/// Stand-in for a model server. While it is faulty, it spoils one of `streams_per_fault` streams.
class stream_server {
  public:
    stream_server(std::string instance, const std::string& ip, record_file& written_record)
        : id(std::move(instance)), record(written_record),
          server({ip, 0}, [this](connection& caller) { this->serve(caller); }) {}
    [[nodiscard]] const address& local_address() const { return this->server.local_address(); }
    void set_faulty(bool is_faulty) { this->faulty = is_faulty; }

  private:
    void serve(connection& caller) {
        http_reader reader{caller};
        while (true) {
            const auto request = reader.read(std::chrono::steady_clock::now() + 20s);
            if (!request || !request->is_complete || !this->answer(caller, *request)) {
                return;
            }
        }
    }

    bool answer(const connection& caller, const http_message& request) {
        const std::string expected = request.field("X-Pomelohoist-Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            return caller.send_all("HTTP/1.1 421 Misdirected Request\r\nX-Pomelohoist-Instance-Id: " + this->id +
                                   "\r\nContent-Length: 0\r\n\r\n");
        }
        const std::string request_id = request.field("X-Pomelohoist-Attempt-Id");
        const std::string resumed = request.field("Last-Event-Id");
        const int first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        const bool is_spoilt = this->faulty && ++this->started % streams_per_fault == streams_per_fault / 2;
        this->record.add("run      " + request_id + " at " + this->id + " from event " + std::to_string(first));
        if (!caller.send_all("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelohoist-Attempt-Id: " +
                             request_id + "\r\nX-Pomelohoist-Response-Stamp: 3e1b." + request_id +
                             "\r\nKeep-Alive: timeout=20\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int number = first; number <= event_count; ++number) {
            std::this_thread::sleep_for(event_interval);
            if (is_spoilt && number >= first + sound_events) {
                this->send_noise(caller, request_id);
                return false;
            }
            if (!caller.send_all(chunk_of(event_of(request_id, number)))) {
                return false;
            }
        }
        return caller.send_all("0\r\n\r\n");
    }

    /// Sends random bytes until the caller closes.
    void send_noise(const connection& caller, const std::string& request_id) {
        this->record.add("trouble  " + this->id + " sends bytes that are no answer for " + request_id);
        std::mt19937 random{static_cast<std::mt19937::result_type>(std::hash<std::string>{}(request_id))};
        std::size_t sent = 0;
        std::string block(noise_block_bytes, '\0');
        do {
            std::generate(block.begin(), block.end(), [&random] { return static_cast<char>(random() & 255U); });
            sent += block.size();
            std::this_thread::sleep_for(noise_interval);
        } while (caller.send_all(chunk_of(block)));
        this->record.add("trouble  the caller of " + request_id + " closed after " + std::to_string(sent) + " bytes");
    }

    const std::string id;
    record_file& record;
    std::atomic<bool> faulty{false};
    std::atomic<int> started{0}; ///< streams that began while the server was faulty
    listener server;
};

struct stream_counts {
    int all{0};
    int whole{0};
    int with_foreign_bytes{0};
    int complete_with_foreign_bytes{0};
    int broken_off{0};
};

class caller_group {
  public:
    explicit caller_group(deployment& used) : site(used) {}

    void run_all() {
        std::vector<std::thread> threads;
        threads.reserve(clients);
        for (int client = 0; client < clients; ++client) {
            threads.emplace_back([this, client] {
                for (int i = 0; i < streams_of_client; ++i) {
                    this->read_stream(client, i);
                    std::this_thread::sleep_for(stream_pause);
                }
            });
        }
        for (std::thread& each : threads) {
            each.join();
        }
    }

    [[nodiscard]] const stream_counts& counts() const { return this->sums; }

  private:
    void read_stream(int client, int index) {
        const std::string id = "draft-" + std::to_string(client) + "-" + std::to_string(index);
        const auto& entry = this->site.entries[static_cast<std::size_t>(client + index) % this->site.entries.size()];
        const connection channel = connect_to(entry->front, 1000ms);
        const std::string body = "prompt of " + id;
        const bool is_sent = channel.send_all(
            std::string{"POST "} + route_prefix + "new HTTP/1.1\r\nHost: " + route_host +
            "\r\nX-Pomelohoist-Attempt-Id: " + id + "\r\nX-Pomelohoist-Deadline-Ms: " + std::to_string(timeout_ms) +
            "\r\nX-Api-Key: " + api_key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        http_reader reader{channel};
        const auto answer =
            is_sent ? reader.read(std::chrono::steady_clock::now() + answer_time) : std::optional<http_message>{};
        this->count(id, entry->name, answer.value_or(http_message{}));
    }

    void count(const std::string& id, const std::string& entry, const http_message& answer) {
        std::string events;
        for (int number = 1; number <= event_count; ++number) {
            events += event_of(id, number);
        }
        // A stream that was broken off holds the first part of the events. All else is foreign.
        const auto differs = std::mismatch(events.begin(), events.end(), answer.body.begin(), answer.body.end());
        const auto foreign = static_cast<std::size_t>(answer.body.end() - differs.second);
        const bool is_success = answer.status() == 200;
        this->site.record.add(
            "stream   " + id + " from " + entry + ": " + (answer.start_line.empty() ? "no answer" : answer.start_line) +
            ", " + std::to_string(answer.body.size()) + " bytes, " + std::to_string(foreign) +
            " of them after the first that no server made for it, " + (answer.is_complete ? "complete" : "broken off"));
        const std::lock_guard lock{this->mutex};
        ++this->sums.all;
        this->sums.whole += is_success && answer.is_complete && answer.body == events ? 1 : 0;
        this->sums.with_foreign_bytes += is_success && foreign > 0 ? 1 : 0;
        this->sums.complete_with_foreign_bytes += is_success && foreign > 0 && answer.is_complete ? 1 : 0;
        this->sums.broken_off += answer.is_complete ? 0 : 1;
    }

    deployment& site;
    std::mutex mutex;
    stream_counts sums;
};

/// Makes half of the servers faulty for some seconds, three times.
void make_trouble(deployment& site, const std::vector<std::unique_ptr<stream_server>>& servers) {
    std::this_thread::sleep_for(warm_up);
    for (int i = 0; i < troubles && site.has_trouble; ++i) {
        site.record.add("trouble  " + std::to_string(faulty_servers) + " of " + std::to_string(server_count) +
                        " servers are faulty");
        for (int server = 0; server < faulty_servers; ++server) {
            servers[static_cast<std::size_t>(server)]->set_faulty(true);
        }
        std::this_thread::sleep_for(trouble_time);
        for (int server = 0; server < faulty_servers; ++server) {
            servers[static_cast<std::size_t>(server)]->set_faulty(false);
        }
        site.record.add("trouble  the servers are sound again");
        std::this_thread::sleep_for(trouble_interval - trouble_time);
    }
}

/// @returns the configuration with one route for streams that may be resumed
std::string stream_config() {
    nlohmann::json config = nlohmann::json::parse(one_route_config("streaming", timeout_ms, 2));
    config["routes"][0]["goal_ms"] = 400;
    config["routes"][0]["gap_target_ms"] = 120;
    config["routes"][0]["can_resume"] = true;
    return config.dump();
}

void run_case(const std::string& folder) {
    deployment site{folder};
    site.store.put("op", "config", stream_config());
    std::vector<std::unique_ptr<stream_server>> servers;
    for (int i = 0; i < server_count; ++i) {
        const std::string id = "i-" + std::to_string(i + 1);
        servers.push_back(std::make_unique<stream_server>(id, site.next_ip(), site.record));
        site.add_server(id, service_name, servers.back()->local_address(), slots);
    }
    for (int i = 0; i < entry_count; ++i) {
        site.start_entry(site.store.local_address());
    }
    if (!site.wait_ready(10s)) {
        site.record.add("the entries are not ready");
        site.finish(verdict::not_run);
    }
    std::thread trouble{[&site, &servers] { make_trouble(site, servers); }};
    caller_group callers{site};
    callers.run_all();
    trouble.join();
    const stream_counts& counts = callers.counts();
    site.record.add("result   " + std::to_string(counts.all) + " streams: " + std::to_string(counts.whole) +
                    " whole, " + std::to_string(counts.with_foreign_bytes) + " with bytes that are no answer (" +
                    std::to_string(counts.complete_with_foreign_bytes) + " of them complete), " +
                    std::to_string(counts.broken_off) + " broken off");
    site.finish(counts.with_foreign_bytes > 0 ? verdict::broken : verdict::held);
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
