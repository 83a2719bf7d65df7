#include "operator/confirmation.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <thread>

namespace pomelohoist {

namespace {

constexpr std::chrono::milliseconds poll_interval{100};

std::vector<process_state*> unconfirmed(std::vector<process_state>& processes, std::uint64_t version) {
    std::vector<process_state*> pending;
    for (process_state& process : processes) {
        if (!process.has_confirmed(version) && process.address.port != 0) {
            pending.push_back(&process);
        }
    }
    return pending;
}

void query_once(const std::vector<process_state*>& pending, status_client& client, std::chrono::milliseconds timeout) {
    std::vector<net_address> targets;
    targets.reserve(pending.size());
    for (const process_state* process : pending) {
        targets.push_back(process->address);
    }
    const std::vector<result<inner::status_response>> responses = client.query(targets, timeout);
    for (std::size_t i = 0; i < pending.size(); ++i) {
        // A process that responded once keeps its last response when a later query fails.
        if (responses[i]) {
            pending[i]->response = *responses[i];
        } else {
            pending[i]->problem = responses[i].last_error().reason;
        }
    }
}

} // namespace

std::vector<process_state> list_processes(const configuration& current, const std::vector<registered_entry>& entries) {
    std::vector<process_state> processes;
    processes.reserve(current.endpoints().size() + entries.size());
    for (const endpoint& declared : current.endpoints()) {
        processes.push_back({declared.name, "agent", declared.agent, declared.data_centre, std::nullopt, ""});
    }
    for (const registered_entry& entry : entries) {
        const std::string problem = entry.inner.port == 0 ? "its row is malformed" : "";
        processes.push_back({entry.name, "entry", entry.inner, entry.data_centre, std::nullopt, problem});
    }
    return processes;
}

void await_confirmation(std::vector<process_state>& processes, std::uint64_t version, status_client& client,
                        const clock& time, std::chrono::milliseconds timeout) {
    const steady_time end = time.now() + timeout;
    while (true) {
        const std::vector<process_state*> pending = unconfirmed(processes, version);
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(end - time.now());
        if (pending.empty() || remaining <= std::chrono::milliseconds::zero()) {
            return;
        }
        query_once(pending, client, std::min(remaining, config::status_timeout));
        if (unconfirmed(processes, version).empty()) {
            return;
        }
        std::this_thread::sleep_for(std::min(remaining, poll_interval));
    }
}

} // namespace pomelohoist
