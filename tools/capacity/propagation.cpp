#include "capacity/sections.h"

#include "spread/spread_fixture.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace pomelohoist::capacity {

namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr int changes = 12;
constexpr int changes_with_loss = 8;
constexpr double loss_share = 0.3;
constexpr std::size_t workspaces = 50;
constexpr auto reach_timeout = 30s;
constexpr auto idle_time = 4s;
constexpr double milliseconds_per_second = 1000.0;

/// A process that responds with a timeout error to a share of the received announcements, as if the datagram and all
/// its retransmissions were lost.
class lossy_process : public spread_process {
  public:
    lossy_process(shared_platform& shared, std::string name, std::string centre, std::uint64_t seed, double share)
        : spread_process(shared, std::move(name), std::move(centre), seed), loss_random(seed), lost_share(share) {}

    inner::payload handle_datagram(const inner::packet& request) override {
        if (this->loss_random.next_fraction() < this->lost_share) {
            return inner::to_payload(inner::failure_response{error_kind::timeout, "injected loss"});
        }
        return spread_process::handle_datagram(request);
    }

  private:
    seeded_random loss_random;
    double lost_share;
};

/// Started spreaders, all of which have the first version.
struct spread_group {
    spread_group(std::size_t number, double lost_share) : random(number) {
        for (std::size_t i = 0; i < number; ++i) {
            this->processes.push_back(std::make_unique<lossy_process>(this->platform, "process-" + std::to_string(i),
                                                                      "centro-" + std::to_string(i % 3 + 1), number + i,
                                                                      lost_share));
        }
        this->require(this->store.commit(make_change("first", make_objects(this->processes, workspaces))));
        for (const auto& process : this->processes) {
            process->start({this->processes.front()->as_peer()});
        }
        this->wait(1);
    }

    ~spread_group() {
        // Stopping a process joins its threads; stopping 80 processes one after the other takes half a minute.
        std::vector<std::thread> stops;
        for (const auto& process : this->processes) {
            stops.emplace_back([&process] { process->stop(); });
        }
        for (std::thread& stop : stops) {
            stop.join();
        }
    }
    spread_group(const spread_group&) = delete;
    spread_group& operator=(const spread_group&) = delete;

    static void require(const result<configuration>& committed) {
        if (!committed) {
            throw std::runtime_error("a change was not accepted: " + committed.last_error().reason);
        }
    }

    void wait(std::uint64_t version) {
        const bool reached = wait_until(
            [&] {
                return std::all_of(this->processes.begin(), this->processes.end(),
                                   [&](const auto& process) { return process->version() >= version; });
            },
            reach_timeout);
        if (!reached) {
            throw std::runtime_error("a process does not have the version after 30 s");
        }
    }

    /// @returns seconds until each change is in force everywhere
    std::vector<double> change(int number) {
        std::vector<double> times;
        std::optional<std::string> before;
        for (int i = 0; i < number; ++i) {
            // Commits at a random time, so that the changes are not synchronized with the polls.
            std::this_thread::sleep_for(
                std::chrono::milliseconds{static_cast<int>(this->random.next_fraction() * 500)});
            const std::string value = std::to_string(i);
            const auto begin = steady::now();
            this->require(this->store.commit(make_relabel("change-" + value, "workspace-1", "step", before, value)));
            this->wait(static_cast<std::uint64_t>(i) + 2);
            times.push_back(elapsed_ms(begin) / milliseconds_per_second);
            before = value;
        }
        return times;
    }

    shared_platform platform;
    configuration_commit store{this->platform.table, this->platform.objects};
    seeded_random random;
    process_list processes;
};

/// Work of one idle process per second.
struct idle_rates {
    double announces{0.0};
    double bytes{0.0};
    double polls{0.0};
};

spread_counts sum_of(const process_list& processes) {
    spread_counts sum;
    for (const auto& process : processes) {
        const spread_counts counts = process->source().counts();
        sum.announces += counts.announces;
        sum.bytes += counts.bytes;
        sum.polls += counts.polls;
    }
    return sum;
}

idle_rates measure_idle(const process_list& processes) {
    const spread_counts before = sum_of(processes);
    const auto begin = steady::now();
    std::this_thread::sleep_for(idle_time);
    const double process_seconds = elapsed_ms(begin) / milliseconds_per_second * static_cast<double>(processes.size());
    const spread_counts after = sum_of(processes);
    return {static_cast<double>(after.announces - before.announces) / process_seconds,
            static_cast<double>(after.bytes - before.bytes) / process_seconds,
            static_cast<double>(after.polls - before.polls) / process_seconds};
}

} // namespace

void measure_propagation(report& table) {
    std::vector<std::pair<std::size_t, idle_rates>> idle;
    std::vector<point> medians;
    std::vector<point> longest;
    table.begin("Time for a change to be in force everywhere");
    for (const std::size_t number : {std::size_t{10}, std::size_t{20}, std::size_t{40}, std::size_t{80}}) {
        spread_group group{number, 0.0};
        idle.emplace_back(number, measure_idle(group.processes));
        std::vector<double> times = group.change(changes);
        table.add_samples(std::to_string(number) + " processes", "s", times);
        std::sort(times.begin(), times.end());
        medians.push_back({static_cast<double>(number), times[times.size() / 2]});
        longest.push_back({static_cast<double>(number), times.back()});
    }
    table.add_slope("median per process", "s", medians);
    table.add_slope("longest per process", "s", longest);
    for (const std::size_t number : {std::size_t{20}, std::size_t{40}, std::size_t{80}}) {
        spread_group group{number, loss_share};
        table.add_samples(std::to_string(number) + " processes, 30% of the announcements lost", "s",
                          group.change(changes_with_loss));
    }
    table.begin("Idle process");
    std::vector<point> announces;
    std::vector<point> bytes;
    std::vector<point> polls;
    for (const auto& [number, rates] : idle) {
        announces.push_back({static_cast<double>(number), rates.announces});
        bytes.push_back({static_cast<double>(number), rates.bytes});
        polls.push_back({static_cast<double>(number), rates.polls});
    }
    table.add_slope("announcements sent by a process, by number of processes", "1/s", announces);
    table.add_slope("message bodies sent and received as the caller, by number of processes", "bytes/s", bytes);
    table.add_slope("polls of the store by a process, by number of processes", "1/s", polls);
    const std::string body =
        inner::encode(inner::announce{{"127.11.12.13", 7000}, "data-centre-11", std::uint64_t{1} << 40U, 1});
    const inner::packet request{1, inner::message_type::announce, 1, false, "endpoint-1000-agent", body};
    const inner::packet response{1,
                                 inner::message_type::announce_response,
                                 1,
                                 true,
                                 "endpoint-1001-agent",
                                 inner::encode(inner::announce_response{1, 1})};
    table.add_samples("datagram of an announcement, without UDP and IP headers", "bytes",
                      {static_cast<double>(inner::encode(request).size())});
    table.add_samples("datagram of the reply, without UDP and IP headers", "bytes",
                      {static_cast<double>(inner::encode(response).size())});
}

} // namespace pomelohoist::capacity
