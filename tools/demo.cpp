// Runs entries, agents and stand-ins in separate processes on this host and checks the responses that callers receive
// and the requests that endpoints receive.

#include "support/deployment.h"
#include "support/standin_responses.h"

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
using namespace std::chrono_literals;

constexpr auto traffic_pause = 10ms;
constexpr auto settle_time = 1000ms;
// A draining endpoint receives no new requests once this time has passed since the label change that drains it.
constexpr auto drain_limit = 2000ms;
constexpr auto observe_time = 1500ms;

const std::string archive_key = "EXAMPLE-KEY-memoria-austral-archivo-temuco";
const std::string desk_key = "EXAMPLE-KEY-memoria-austral-mesa-central";
const std::string atelier_key = "EXAMPLE-KEY-kartonfeest-atelier-delft";

/// Prints the result of each check and records whether all have passed.
class check_table {
  public:
    void add(const std::string& check, bool passed, const std::string& observed) {
        const std::lock_guard lock{this->mutex};
        this->all_passed = this->all_passed && passed;
        std::cout << (passed ? "ok      " : "FAILED  ") << check << (observed.empty() ? "" : ": " + observed)
                  << std::endl;
    }
    [[nodiscard]] bool passed() const { return this->all_passed; }

  private:
    std::mutex mutex;
    bool all_passed{true};
};

std::string example(const std::string& name) {
    return POMELOHOIST_SOURCE_DIR "/examples/" + name;
}

void start_programs(deployment& cluster) {
    cluster.start_platform();
    const std::string drafting = "label.pool = drafting\nlabel.state = active\n";
    const std::vector<std::string> engine{"--token-ms", "1"};
    cluster.start_endpoint({"escriba-01", "model", "escriba", "", 0, "centro-1", "", drafting, engine});
    cluster.start_endpoint({"escriba-02", "model", "escriba", "", 0, "centro-2", "", drafting, engine});
    cluster.start_endpoint({"escriba-03", "model", "escriba", "", 0, "centro-3", "",
                            "label.pool = large\nlabel.state = active\n", engine});
    cluster.start_endpoint({"design-llm-01", "model", "design-llm", "", 0, "nl-west-a", "", drafting, engine});
    cluster.start_endpoint({"mesa-citas-1",
                            "service",
                            "mesa-citas",
                            "",
                            0,
                            "centro-1",
                            "",
                            "label.pool = desk\nlabel.state = active\n",
                            {}});
    cluster.start_entry("entry-1", "centro-1");
    cluster.start_entry("entry-2", "centro-2");
}

void declare(deployment& cluster, check_table& table) {
    for (const std::string& folder :
         {std::string{"memoria-austral/declarations/"}, std::string{"kartonfeest/declarations/"}}) {
        const process_outcome outcome =
            cluster.operate({"apply", example(folder + "01-workspaces.ini"), example(folder + "02-applications.ini"),
                             example(folder + "05-selectors.ini")});
        table.add("declarations of " + folder + " are accepted", outcome.exit_status == 0, "");
    }
    const process_outcome moved = cluster.operate({"apply", example("03-move-workspace.ini")});
    table.add("the selector for moved workspaces is accepted", moved.exit_status == 0, "");
    const process_outcome endpoints = cluster.apply(cluster.endpoint_declarations());
    table.add("endpoints are declared and in force everywhere", endpoints.exit_status == 0, "");
}

void check_drafts(deployment& cluster, check_table& table) {
    int complete = 0;
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
        for (running_program& entry : cluster.entries()) {
            const draft summary{archive_key, "escriba", "drafts", "summary " + std::to_string(i), 20, i % 2 == 0, ""};
            const draft shape{atelier_key, "design-llm", "drafts", "unicorn " + std::to_string(i), 20, i % 2 == 0, ""};
            for (const draft& call : {summary, shape}) {
                ++sent;
                complete += is_full_response(call, send_http(entry.http, to_request(call))) ? 1 : 0;
            }
        }
    }
    table.add("streamed and plain drafts come back whole through both entries", complete == sent,
              std::to_string(complete) + " of " + std::to_string(sent));
}

void check_booking(deployment& cluster, check_table& table) {
    http_request booking;
    booking.method = "POST";
    booking.path = "/services/mesa-citas/bookings";
    booking.headers = {{"Authorization", "Bearer " + desk_key},
                       {"X-Pomelohoist-Application", "bookings"},
                       {"Idempotency-Key", "visit-1"}};
    booking.body = "narrator 7, Tuesday";
    const http_response first = send_http(cluster.entries().at(0).http, booking);
    const http_response second = send_http(cluster.entries().at(1).http, booking);
    count_table counts = read_counts(cluster.endpoints().back()->standin.http);
    table.add("a booking is answered", first.status == 200, std::to_string(first.status) + " " + error_kind_of(first));
    table.add("the same booking through the other entry gets the same answer",
              second.status == 200 && second.body == first.body, std::to_string(second.status));
    table.add("the booking ran once", counts["keys"]["visit-1"] == 1, std::to_string(counts["keys"]["visit-1"]));
}

/// Sends drafts of one workspace through the entries in turn until it is stopped.
class traffic {
  public:
    explicit traffic(deployment& target) : cluster(target), thread([this] { this->loop(); }) {}
    ~traffic() { this->stop(); }
    void stop() {
        this->stopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }
    std::atomic<int> sent{0};
    std::atomic<int> complete{0};

  private:
    void loop() {
        while (!this->stopping) {
            const int number = this->sent++;
            const draft call{archive_key, "escriba", "drafts", "letter " + std::to_string(number), 5, true, ""};
            const auto entry = static_cast<std::size_t>(number) % this->cluster.entries().size();
            const http_response response = send_http(this->cluster.entries().at(entry).http, to_request(call));
            this->complete += is_full_response(call, response) ? 1 : 0;
            std::this_thread::sleep_for(traffic_pause);
        }
    }

    deployment& cluster;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

std::uint64_t started_at(deployment& cluster, std::size_t endpoint) {
    return sum_of(read_counts(cluster.endpoints().at(endpoint)->standin.http), "started");
}

/// @returns the number of requests that the endpoint starts within `observe_time`
std::uint64_t newly_started(deployment& cluster, std::size_t endpoint) {
    const std::uint64_t before = started_at(cluster, endpoint);
    std::this_thread::sleep_for(observe_time);
    return started_at(cluster, endpoint) - before;
}

void check_drain(deployment& cluster, check_table& table) {
    traffic drafts{cluster};
    std::this_thread::sleep_for(settle_time);
    table.add("a server works before it is relabelled", started_at(cluster, 1) > 0, "");
    const process_outcome drained = cluster.operate({"label", "endpoint", "escriba-02", "state=drained"});
    std::this_thread::sleep_for(drain_limit);
    const std::uint64_t started_late = newly_started(cluster, 1);
    table.add("relabelling the server drains it within 2 s", drained.exit_status == 0 && started_late == 0,
              std::to_string(started_late) + " requests started after that");
    cluster.operate({"label", "endpoint", "escriba-02", "state=active"});

    const process_outcome moved = cluster.operate({"label", "workspace", "archivo-temuco", "state=moved"});
    std::this_thread::sleep_for(drain_limit);
    const std::uint64_t at_new = started_at(cluster, 2);
    const std::uint64_t at_old = newly_started(cluster, 0);
    const std::uint64_t arrived = started_at(cluster, 2) - at_new;
    table.add("relabelling the workspace moves its traffic within 2 s",
              moved.exit_status == 0 && at_old == 0 && arrived > 0,
              std::to_string(at_old) + " at the old server, " + std::to_string(arrived) + " at the new one");
    drafts.stop();
    table.add("no draft was lost or cut under drain and move", drafts.complete == drafts.sent,
              std::to_string(drafts.complete) + " of " + std::to_string(drafts.sent) + " whole");
}

void check_stop(deployment& cluster, check_table& table) {
    const std::vector<std::string> failed = cluster.stop_all();
    std::string names;
    for (const std::string& name : failed) {
        names += name + " ";
    }
    table.add("every process stops gracefully with status 0", failed.empty(), names);
}

} // namespace

int main(int argc, char** argv) {
    const std::string binary = argv[0];
    const std::string binaries = binary.substr(0, binary.rfind('/'));
    const std::string work_folder = argc > 1 ? argv[1] : binaries + "/../demo";
    std::filesystem::remove_all(work_folder);
    check_table table;
    try {
        deployment cluster{binaries, work_folder};
        start_programs(cluster);
        declare(cluster, table);
        check_drafts(cluster, table);
        check_booking(cluster, table);
        check_drain(cluster, table);
        check_stop(cluster, table);
    } catch (const std::exception& error) {
        table.add("the demo runs to its end", false, error.what());
    }
    std::cout << (table.passed() ? "all checks passed" : "some checks FAILED") << ", logs and spans are in "
              << work_folder << std::endl;
    return table.passed() ? EXIT_SUCCESS : EXIT_FAILURE;
}
