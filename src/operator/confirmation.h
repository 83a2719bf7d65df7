#pragma once

#include "operator/declaration_store.h"
#include "operator/status_client.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Finds the processes that have confirmed a configuration version.
namespace pomelohoist {

/// A process that is expected to confirm a version, and its last status response.
struct process_state {
    std::string name;
    std::string role; ///< "agent" or "entry"
    net_address address;
    std::string data_centre;
    std::optional<inner::status_response> response;
    std::string problem; ///< why a query failed, or why the process cannot be queried

    [[nodiscard]] bool has_confirmed(std::uint64_t version) const {
        return this->response && this->response->configuration_version >= version;
    }
    friend bool operator==(const process_state&, const process_state&) = default;
};

/// @returns the agents of all declared endpoints, then all registered entries
std::vector<process_state> list_processes(const configuration& current, const std::vector<registered_entry>& entries);

/// Polls the processes that have not confirmed `version` until all have confirmed it or `timeout` has expired.
void await_confirmation(std::vector<process_state>& processes, std::uint64_t version, status_client& client,
                        const clock& time, std::chrono::milliseconds timeout);

} // namespace pomelohoist
