#include "../support-2/deployment.h"
#include "../support-2/server.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <exception>
#include <filesystem>
#include <iostream>
#include <thread>

/// The servers of a service are replaced one after the other, again and again.
namespace pomelohoist::review {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t servers_at_once = 24;
constexpr std::size_t replaced_at_once = 9;             ///< largest `x` of `release`
constexpr std::chrono::milliseconds between_steps{860}; ///< its `gap_s`
constexpr std::chrono::milliseconds drain_time{2000};   ///< `drain_ms`
constexpr std::chrono::milliseconds after_drain{300};   ///< a server serves a little longer
constexpr std::chrono::milliseconds work{60};           ///< of a request, as on the sheet
constexpr int clients = 96;
constexpr std::uint32_t deadline_ms = 4000;
constexpr std::chrono::milliseconds contact{3000}; ///< `contact_ms`
constexpr int clients_that_try = 7;
constexpr std::chrono::seconds longest_run{100};

/// One lifetime of a server.
struct lifetime {
    std::string id;
    std::unique_ptr<server> http;
};

/// Starts new servers, and ends old ones after their drain.
class fleet {
  public:
    explicit fleet(test_support::row_store& rows) : store(rows) {}

    void start(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            lifetime next{"i-" + std::to_string(++this->started), nullptr};
            next.http = std::make_unique<server>(serve_requests([this](channel& caller, const message& request) {
                std::this_thread::sleep_for(work);
                ++this->runs;
                return caller.send(make_response(request, 200, "in stock", "Keep-Alive: timeout=15\r\n"));
            }));
            put_server(this->store, next.id, "stock", next.http->address(), 6);
            this->ready.push_back(std::move(next));
        }
    }

    /// The oldest servers report `draining`.
    void drain(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            lifetime leaving = std::move(this->ready.front());
            this->ready.pop_front();
            put_server(this->store, leaving.id, "stock", leaving.http->address(), 6, "draining");
            this->draining.emplace_back(steady::now() + drain_time + after_drain, std::move(leaving));
        }
    }

    void end_drained() {
        while (!this->draining.empty() && this->draining.front().first <= steady::now()) {
            this->store.remove("servers", this->draining.front().second.id);
            this->draining.pop_front();
        }
    }

    [[nodiscard]] std::uint64_t lifetimes() const { return this->started; }
    [[nodiscard]] std::uint64_t run_count() const { return this->runs; }

  private:
    test_support::row_store& store;
    std::uint64_t started{0};
    std::atomic<std::uint64_t> runs{0};
    std::deque<lifetime> ready;
    std::deque<std::pair<steady::time_point, lifetime>> draining;
};

/// Calls one after the other on a channel that the client keeps.
void call_repeatedly(int number, const net_address& front, const std::atomic<bool>& is_ending,
                     std::atomic<std::uint64_t>& answered) {
    std::optional<channel> kept;
    for (int i = 0; !is_ending; ++i) {
        kept = kept ? std::move(kept) : channel::connect(front, 1s);
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
        read_end end = read_end::bytes;
        std::optional<message> response;
        if (kept && kept->send(request_head("GET", "/stock/x", id, deadline_ms))) {
            response = read_message(*kept, steady::now() + 5s, end);
        }
        if (!response || !response->complete) {
            kept.reset();
            std::this_thread::sleep_for(100ms);
            continue;
        }
        answered += response->status() == 200 ? 1 : 0;
        std::this_thread::sleep_for(response->status() == 200 ? 0ms : 100ms);
    }
}

/// The platform's readiness check, once per second on a connection that the platform keeps.
class readiness_check {
  public:
    readiness_check(const net_address& page, recorder& log)
        : address(page), record(log), thread([this] { this->ask_repeatedly(); }) {}
    ~readiness_check() {
        this->is_ending = true;
        this->thread.join();
    }
    readiness_check(const readiness_check&) = delete;
    readiness_check& operator=(const readiness_check&) = delete;

    /// @returns how long each check has been answered 200
    [[nodiscard]] std::chrono::milliseconds ready_for() const {
        const steady::time_point last_miss = this->missed_at;
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - last_miss);
    }

  private:
    void ask_repeatedly() {
        while (!this->is_ending) {
            const steady::time_point next = steady::now() + 1s;
            if (!this->ask()) {
                this->missed_at = steady::now();
                this->record.line("a readiness check was not answered 200");
            }
            std::this_thread::sleep_until(next);
        }
    }
    bool ask() {
        this->kept = this->kept ? std::move(this->kept) : channel::connect(this->address, 1s);
        read_end end = read_end::bytes;
        std::optional<message> response;
        if (this->kept && this->kept->send("GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n")) {
            response = read_message(*this->kept, steady::now() + 1s, end);
        }
        if (!response || !response->complete) {
            this->kept.reset();
        }
        return response && response->status() == 200;
    }

    net_address address;
    recorder& record;
    std::optional<channel> kept;
    std::atomic<steady::time_point> missed_at{steady::now()};
    std::atomic<bool> is_ending{false};
    std::thread thread;
};

/// @returns the number of `clients_that_try` that get an answer on a new channel
int try_new_channels(const net_address& front, int round, recorder& record) {
    std::atomic<int> served{0};
    std::vector<std::thread> callers;
    callers.reserve(clients_that_try);
    for (int i = 0; i < clients_that_try; ++i) {
        callers.emplace_back([&, i] {
            std::optional<channel> made = channel::connect(front, 1s);
            const std::string id = "new" + std::to_string(round) + "-" + std::to_string(i);
            read_end end = read_end::bytes;
            if (made && made->send(request_head("GET", "/stock/x", id, deadline_ms)) &&
                read_message(*made, steady::now() + 1s, end)) {
                ++served;
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    record.line("of " + std::to_string(clients_that_try) + " clients on new channels, " + std::to_string(served) +
                " got an answer within 1 s");
    return served;
}

std::size_t open_descriptors(pid_t process) {
    const std::filesystem::directory_iterator entries{"/proc/" + std::to_string(process) + "/fd"};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// @returns true when the entry said that it is ready and took no new channel for `contact`
bool takes_no_channel(entry& front, const readiness_check& platform, recorder& record) {
    steady::time_point last_taken = steady::now();
    for (int round = 0; round < 12; ++round) {
        if (try_new_channels(front.http, round, record) > 0) {
            last_taken = steady::now();
        }
        const auto untaken = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - last_taken);
        record.line("ready for " + std::to_string(platform.ready_for().count()) + " ms, no new channel taken for " +
                    std::to_string(untaken.count()) +
                    " ms; open descriptors: " + std::to_string(open_descriptors(front.process().id())));
        // A check each second: the last one may be a second old.
        if (std::min(untaken, platform.ready_for() - 1000ms) > contact) {
            return true;
        }
    }
    return false;
}

verdict run() {
    recorder record{"review/10/record.txt"};
    const std::string work_folder = make_work_folder();
    test_support::row_store store;
    store.put("op", "config", config_json(3, {route_json("/stock/", "safe", "stock", deadline_ms, 2)}, {"stock"}));
    fleet servers{store};
    servers.start(servers_at_once);
    entry front{work_folder, "front-a-1", store.address()};
    if (!front.start()) {
        record.line("the entry did not start");
        return verdict::not_run;
    }
    std::atomic<bool> is_ending{false};
    std::atomic<std::uint64_t> answered{0};
    std::vector<std::thread> callers;
    callers.reserve(clients);
    for (int i = 0; i < clients; ++i) {
        callers.emplace_back([&, i] { call_repeatedly(i, front.http, is_ending, answered); });
    }
    readiness_check platform{front.ready, record};
    bool is_stuck = false;
    const steady::time_point end = steady::now() + (has_trouble() ? longest_run - 15s : 30s);
    for (int step = 0; !is_stuck && steady::now() < end; ++step) {
        const steady::time_point next = steady::now() + between_steps;
        if (has_trouble()) {
            servers.start(replaced_at_once);
            servers.drain(replaced_at_once);
        }
        servers.end_drained();
        if (step % 5 == 0) {
            record.line(std::to_string(servers.lifetimes()) + " servers so far, " +
                        std::to_string(servers.run_count()) + " runs, " + std::to_string(answered) +
                        " answers; ready for " + std::to_string(platform.ready_for().count()) +
                        " ms; open descriptors: " + std::to_string(open_descriptors(front.process().id())));
            is_stuck = try_new_channels(front.http, step, record) == 0;
        }
        std::this_thread::sleep_until(next);
    }
    // No server is replaced any more.
    record.line("the releases have ended");
    std::this_thread::sleep_for(3s);
    servers.end_drained();
    const bool is_broken = takes_no_channel(front, platform, record);
    is_ending = true;
    front.process().kill();
    for (std::thread& caller : callers) {
        caller.join();
    }
    const std::string summary =
        "RECOVER: the entry " +
        std::string{is_broken ? "says that it is ready and takes no new channel for 3 s" : "takes new channels"} +
        "; " + std::to_string(servers.lifetimes()) + " servers, " + std::to_string(answered) + " answers";
    record.line(summary);
    std::cout << summary << '\n';
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace
} // namespace pomelohoist::review

int main() {
    try {
        return static_cast<int>(pomelohoist::review::run());
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return static_cast<int>(pomelohoist::review::verdict::not_run);
    }
}
