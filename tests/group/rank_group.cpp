#include "group/rank_group.h"

#include "platform/http_platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace pomelohoist::test_group {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// Upper bound for a slow host, not a target. The replacement of the holder of a lost lease alone takes 3.5 s.
constexpr auto wait_timeout = 90s;
constexpr auto poll_interval = 20ms;
constexpr std::uint16_t http_ok = 200;

std::string rank_name(std::uint32_t rank) {
    return "rank-" + std::to_string(rank);
}

/// Reads a journal, which has one line per step.
std::map<std::uint64_t, std::string> read_journal(const std::string& file, std::vector<std::string>& faults) {
    std::map<std::uint64_t, std::string> map_of_step;
    std::ifstream lines{file};
    std::string line;
    while (std::getline(lines, line)) {
        const auto space = line.find(' ');
        // The last line may not be complete yet.
        if (space == std::string::npos || line.find(' ', space + 1) == std::string::npos || lines.eof()) {
            break;
        }
        const std::uint64_t step = std::stoull(line.substr(0, space));
        if (step != map_of_step.size()) {
            faults.push_back(file + ": step " + std::to_string(step) + " after " + std::to_string(map_of_step.size()));
        }
        map_of_step[step] = line.substr(space + 1);
    }
    return map_of_step;
}

} // namespace

rank_group::rank_group(std::uint32_t number_of_ranks, const std::string& work_folder)
    : ranks(number_of_ranks), processes(POMELOHOIST_BIN_DIR, work_folder) {
    this->processes.start_platform({"--weight-rate", "1000"});
    const std::string rank_count = std::to_string(this->ranks);
    for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
        test_support::endpoint_options options;
        options.name = rank_name(rank);
        options.serves = "m";
        options.group = "g";
        options.rank = rank;
        options.standin_program = "standin-rank";
        options.standin_arguments = {"--rank", std::to_string(rank), "--ranks", rank_count, "--shift-steps", "150"};
        options.group_settings = "ranks = " + rank_count +
                                 "\nexperts = 16\nlayers = 2\nslots_per_rank = 3\n"
                                 "[balance]\nmove_weight = 0.01\nload_window_steps = 4\n";
        this->processes.start_endpoint(options);
    }
    if (this->processes.apply(this->processes.endpoint_declarations()).exit_status != 0) {
        throw std::runtime_error("the declarations were not accepted");
    }
    const net_address root = this->processes.endpoints().front()->standin.http;
    for (const auto& endpoint : this->processes.endpoints()) {
        const json body{{"agent", endpoint->agent.step.to_string()}, {"root", root.to_string()}};
        const auto response =
            test_support::send_http(endpoint->standin.http, {"PUT", "/standin/start", {}, body.dump(), 20s});
        if (response.status != http_ok) {
            throw std::runtime_error(endpoint->options.name + " did not start");
        }
    }
}

std::optional<std::uint32_t> rank_group::find_coordinator() {
    const system_clock time;
    http_platform store{this->processes.platform().http, time};
    const auto row = store.get("lease/g");
    if (!row || !*row) {
        return std::nullopt;
    }
    const std::string holder = json::parse((*row)->value).at("holder").get<std::string>();
    for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
        if (holder.starts_with(rank_name(rank) + "-agent-")) {
            return rank;
        }
    }
    return std::nullopt;
}

std::uint64_t rank_group::lease_epoch() {
    const system_clock time;
    http_platform store{this->processes.platform().http, time};
    const auto row = store.get("lease/g");
    return row && *row ? json::parse((*row)->value).at("epoch").get<std::uint64_t>() : 0;
}

test_support::running_program& rank_group::agent(std::uint32_t rank) {
    return this->processes.endpoints().at(rank)->agent;
}

void rank_group::restart_agent(std::uint32_t rank) {
    this->processes.restart_agent(*this->processes.endpoints().at(rank));
}

void rank_group::set_store_down(bool down) {
    const json body{{"down", down ? "close" : ""}};
    test_support::send_http(this->processes.platform().http, {"PUT", "/standin/faults", {}, body.dump(), 20s});
}

journal_report rank_group::read_journals() const {
    journal_report report;
    std::map<std::uint64_t, std::string> map_of_step;
    std::set<std::string> maps;
    report.common_steps = std::numeric_limits<std::uint64_t>::max();
    for (std::uint32_t rank = 0; rank < this->ranks; ++rank) {
        const std::string file = this->processes.work_folder() + "/" + rank_name(rank) + ".journal";
        const auto journal = read_journal(file, report.faults);
        report.common_steps = std::min<std::uint64_t>(report.common_steps, journal.size());
        for (const auto& [step, map] : journal) {
            const auto first = map_of_step.emplace(step, map).first;
            maps.insert(map);
            if (first->second != map) {
                report.faults.push_back("step " + std::to_string(step) + ": map " + map + " at rank " +
                                        std::to_string(rank) + " and map " + first->second);
            }
        }
    }
    report.maps = maps.size();
    if (!map_of_step.empty()) {
        std::istringstream last{map_of_step.rbegin()->second};
        last >> report.last_map.version >> report.last_map.digest;
    }
    return report;
}

template <class Condition> bool rank_group::wait_until(const Condition& condition) const {
    const auto deadline = std::chrono::steady_clock::now() + wait_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition(this->read_journals())) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

bool rank_group::run_steps(std::uint64_t more) {
    const std::uint64_t target = this->read_journals().common_steps + more;
    return this->wait_until([target](const journal_report& now) { return now.common_steps >= target; });
}

bool rank_group::run_maps(std::uint64_t more) {
    const std::uint64_t target = this->read_journals().maps + more;
    return this->wait_until([target](const journal_report& now) { return now.maps >= target; });
}

} // namespace pomelohoist::test_group
