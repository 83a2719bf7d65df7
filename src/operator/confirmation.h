#pragma once

#include "operator/declaration_store.h"
#include "operator/status_client.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Which processes have a configuration version in force.
namespace pomelohoist {

/// A process that should confirm, and its last answer.
struct process_state {
    std::string name;
    std::string role; ///< "agent" or "entry"
    net_address address;
    std::string data_centre;
    std::optional<inner::status_response> answer;
    std::string problem; ///< why there is no answer

    [[nodiscard]] bool has_confirmed(std::uint64_t version) const {
        return this->answer && this->answer->configuration_version >= version;
    }
    friend bool operator==(const process_state&, const process_state&) = default;
};

/// @returns the agents of all declared endpoints, and all registered entries
std::vector<process_state> list_processes(const configuration& now, const std::vector<registered_entry>& entries);

/// Asks the processes that have not confirmed again and again, until all have or the time is over.
void await_confirmation(std::vector<process_state>& processes, std::uint64_t version, status_client& client,
                        const clock& time, std::chrono::milliseconds timeout);

} // namespace pomelohoist
