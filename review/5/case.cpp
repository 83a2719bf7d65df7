#include "../support/case_run.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <exception>
#include <iostream>
#include <thread>
#include <utility>

/// Model servers that answer now and then with bytes without end.
namespace review {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int rank_count = 4;
constexpr int affected_ranks = 2;
constexpr int endless_answers = 3; // of each affected server
constexpr auto endless_interval = 10s;
constexpr long memory_limit_kb = 128L * 1024; // of a machine beside a model server
constexpr std::size_t piece_bytes = 65536;
constexpr auto piece_interval = 1ms;
constexpr auto restart_delay = 500ms;
constexpr auto run_time = 40s;
constexpr auto idle_time = 30s;

/// Stand-in for a model server that is a rank of an idle group.
class model_server {
  public:
    model_server(std::uint32_t own_rank, const std::string& ip, record_file& written_record)
        : rank(own_rank), record(written_record), server({ip, 0}, [this](connection& caller) { this->serve(caller); }) {
    }
    [[nodiscard]] const address& local_address() const { return this->server.local_address(); }
    /// The next answer to a read of the report has no end.
    void send_endless_answer() { this->is_endless_due = true; }

  private:
    [[nodiscard]] std::string answer(const http_message& request) const {
        const std::string path = request.target().substr(0, request.target().find('?'));
        if (path == "/-/report") {
            const json group{{"name", "g-1"}, {"epoch", 1}, {"rank", this->rank}, {"state", "open"}};
            return json{{"stage", "both"},    {"models", json::array()},
                        {"busy", false},      {"seq", 0},
                        {"queued", 0},        {"running", 0},
                        {"kv_used", 0},       {"kv_total", 372000},
                        {"handles", 0},       {"group", group},
                        {"size", rank_count}, {"step", 0},
                        {"map", 0},           {"prepared", 0},
                        {"armed", nullptr},   {"held", nullptr}}
                .dump();
        }
        return path == "/-/picked" ? json{{"step", 0}, {"epoch", 1}, {"counts", json::array({0, 0, 0, 0})}}.dump()
                                   : "{}";
    }

    void send_endless(const connection& caller) {
        this->record.add("answer   without end of server " + std::to_string(this->rank) + " to GET /-/report");
        std::size_t sent = 0;
        bool is_open = caller.send_all("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
        while (is_open) {
            is_open = caller.send_all(std::string(piece_bytes, '#'));
            sent += piece_bytes;
            std::this_thread::sleep_for(piece_interval);
        }
        this->record.add("closed   by its caller after " + std::to_string(sent >> 20U) + " MB");
    }

    void serve(connection& caller) {
        http_reader reader{caller};
        while (true) {
            const auto request = reader.read(std::chrono::steady_clock::now() + idle_time);
            if (!request || !request->is_complete) {
                return;
            }
            if (request->target() == "/-/report" && this->is_endless_due.exchange(false)) {
                this->send_endless(caller);
                return;
            }
            const std::string body = this->answer(*request);
            if (!caller.send_all("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    const std::uint32_t rank;
    record_file& record;
    std::atomic<bool> is_endless_due{false};
    listener server;
};

std::string config_with_engine() {
    json config = json::parse(one_route_config("unsafe", 2000, 1));
    config["services"].push_back({{"name", "design-llm"},
                                  {"health_path", "/health"},
                                  {"max_conns", 836},
                                  {"engine",
                                   {{"slots", 12},
                                    {"link_mbps", 92000.0},
                                    {"sets", 1},
                                    {"experts", 4},
                                    {"places", 2},
                                    {"spare", 1},
                                    {"expert_mb", 580.0},
                                    {"form_ms", 600.0}}}});
    return config.dump();
}

/// Ends processes over the memory limit and starts ended ones again, as the platform does.
class process_keeper {
  public:
    explicit process_keeper(deployment& used) : site(used), ends(used.ranks.size(), 0) {}

    void check() {
        for (std::size_t i = 0; i < this->site.ranks.size(); ++i) {
            deployment::rank_process& each = *this->site.ranks[i];
            const long memory_kb = each.process->peak_memory_kb();
            if (memory_kb > memory_limit_kb) {
                this->site.record.add("memory   " + each.name + ": " + std::to_string(memory_kb) +
                                      " KB, over the limit; it is killed");
                each.process->send_signal(SIGKILL);
            }
            if (memory_kb > memory_limit_kb || each.process->has_ended()) {
                ++this->ends[i];
                std::this_thread::sleep_for(restart_delay);
                this->site.restart(each);
            }
        }
    }

    /// @returns true when processes of two machines, and of a tenth of them, have ended three times
    [[nodiscard]] bool has_fault(std::size_t machines) const {
        std::size_t faulty = 0;
        for (std::size_t i = 0; i < this->ends.size(); ++i) {
            this->site.record.add("result   " + this->site.ranks[i]->name + " ended " + std::to_string(this->ends[i]) +
                                  " times by itself");
            faulty += this->ends[i] >= 3 ? 1 : 0;
        }
        return faulty >= 2 && faulty * 10 >= machines;
    }

  private:
    deployment& site;
    std::vector<int> ends;
};

void run_case(const std::string& folder) {
    deployment site{folder};
    site.store.put("op", "config", config_with_engine());
    std::vector<std::unique_ptr<model_server>> servers;
    for (std::uint32_t i = 0; i < rank_count; ++i) {
        servers.push_back(std::make_unique<model_server>(i, site.next_ip(), site.record));
        site.add_server("i-" + std::to_string(i), "design-llm", servers.back()->local_address(), 12);
        site.start_rank(servers.back()->local_address(), "design-llm");
    }
    site.start_entry(site.store.local_address());
    site.start_entry(site.store.local_address());
    if (!site.wait_ready(10s)) {
        site.record.add("the entries are not ready");
        site.finish(verdict::not_run);
    }
    process_keeper keeper{site};
    const auto begin = std::chrono::steady_clock::now();
    int sent = 0;
    while (std::chrono::steady_clock::now() - begin < run_time) {
        if (site.has_trouble && sent < endless_answers &&
            std::chrono::steady_clock::now() - begin > sent * endless_interval + 3s) {
            ++sent;
            for (int i = 0; i < affected_ranks; ++i) {
                servers[static_cast<std::size_t>(i)]->send_endless_answer();
            }
        }
        keeper.check();
        std::this_thread::sleep_for(20ms);
    }
    site.finish(keeper.has_fault(site.entries.size() + site.ranks.size()) ? verdict::broken : verdict::held);
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
