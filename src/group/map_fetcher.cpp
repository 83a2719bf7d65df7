#include "group/map_fetcher.h"

#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::uint32_t max_queried_ranks = 3;

} // namespace

map_fetcher::map_fetcher(group_position own_position, std::string own_process, const expert_shape& group_shape,
                         const group_directory& agent_directory, map_library& own_maps, map_record& own_record)
    : position(std::move(own_position)), process_name(std::move(own_process)), shape(group_shape),
      directory(agent_directory), maps(own_maps), record(own_record) {}

bool map_fetcher::fetch(const map_id& id, std::uint32_t likely_rank) {
    if (this->maps.is_usable(id)) {
        return true;
    }
    const std::vector<net_address> agents = this->directory.addresses();
    for (std::uint32_t i = 0; i < std::min(max_queried_ranks, this->position.ranks); ++i) {
        const std::uint32_t rank = (likely_rank + i) % this->position.ranks;
        if (rank != this->position.rank && agents[rank].port != 0 && this->fetch_from(agents[rank], id)) {
            return true;
        }
    }
    const result<expert_map> stored = this->record.read();
    if (stored && identify(*stored) == id) {
        this->maps.add(*stored);
        return true;
    }
    return false;
}

bool map_fetcher::fetch_from(const net_address& agent, const map_id& id) {
    const auto response = inner::call_stream<inner::map_response>(
        agent, this->process_name, inner::map_request{this->position.group, id}, config::map_call_timeout);
    if (!response) {
        return false;
    }
    const result<expert_map> received = expert_map::make(this->shape, id.version, response->slots);
    if (!received || identify(*received) != id) {
        return false;
    }
    this->maps.add(*received);
    return true;
}

} // namespace pomelohoist
