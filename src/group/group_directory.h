#pragma once

#include "group/group_network.h"
#include "group/switch_participant.h"
#include "inner/datagram_endpoint.h"
#include "spread/configuration_source.h"

#include <pomelohoist/types.h>

#include <cstdint>
#include <optional>
#include <string>

/// Addresses of the agents of a group, according to the declarations in force.
namespace pomelohoist {

/// Group and rank of a declared endpoint.
struct declared_position {
    std::string group;
    std::uint32_t rank{0};

    friend bool operator==(const declared_position&, const declared_position&) = default;
};

/// @returns the position, or nothing when the endpoint is not declared or belongs to no group
std::optional<declared_position> find_position(const configuration_source& source, const std::string& endpoint_name);

/// Inner address of the agent of each rank. The declarations are read for each call, because a replaced agent has
/// another address.
class group_directory {
  public:
    /// @attention the source must outlive the directory
    group_directory(const configuration_source& declarations, std::string group_name, std::uint32_t number_of_ranks);
    /// @returns one address for each rank; port 0 for a rank that is not declared
    [[nodiscard]] std::vector<net_address> addresses() const;

  private:
    const configuration_source& source;
    std::string group;
    std::uint32_t ranks;
};

/// Calls the other agents over UDP.
class datagram_network : public group_network {
  public:
    datagram_network(const group_directory& agent_directory, std::uint32_t own, inner::datagram_endpoint& datagrams);
    std::vector<result<inner::packet>> call_others(const inner::payload& content,
                                                   std::chrono::milliseconds timeout) override;

  private:
    const group_directory& directory;
    std::uint32_t own_rank;
    inner::datagram_endpoint& calls;
};

} // namespace pomelohoist
