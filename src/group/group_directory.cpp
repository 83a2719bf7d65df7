#include "group/group_directory.h"

#include <utility>

namespace pomelohoist {

std::optional<declared_position> find_position(const configuration_source& source, const std::string& endpoint_name) {
    const configuration_ptr current = source.current();
    const endpoint_handle handle = current->find_endpoint(endpoint_name);
    if (!handle.is_valid() || current->at(handle).group.empty()) {
        return std::nullopt;
    }
    return declared_position{current->at(handle).group, current->at(handle).rank};
}

group_directory::group_directory(const configuration_source& declarations, std::string group_name,
                                 std::uint32_t number_of_ranks)
    : source(declarations), group(std::move(group_name)), ranks(number_of_ranks) {}

std::vector<net_address> group_directory::addresses() const {
    std::vector<net_address> agents(this->ranks);
    const configuration_ptr current = this->source.current();
    for (const endpoint& declared : current->endpoints()) {
        if (declared.group == this->group && declared.rank < this->ranks) {
            agents[declared.rank] = declared.agent;
        }
    }
    return agents;
}

datagram_network::datagram_network(const group_directory& agent_directory, std::uint32_t own,
                                   inner::datagram_endpoint& datagrams)
    : directory(agent_directory), own_rank(own), calls(datagrams) {}

std::vector<result<inner::packet>> datagram_network::call_others(const inner::payload& content,
                                                                 std::chrono::milliseconds timeout) {
    const std::vector<net_address> addresses = this->directory.addresses();
    std::vector<inner::datagram_call> requests;
    for (std::uint32_t rank = 0; rank < addresses.size(); ++rank) {
        if (rank == this->own_rank) {
            continue;
        }
        if (addresses[rank].port == 0) {
            // No rank is called, because a switch needs all ranks and this rank is not declared.
            return {addresses.size() - 1, failure{error_kind::unreachable, "a rank is not declared"}};
        }
        requests.push_back({addresses[rank], content});
    }
    return requests.empty() ? std::vector<result<inner::packet>>{} : this->calls.call_all(requests, timeout);
}

} // namespace pomelohoist
