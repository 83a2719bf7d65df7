#include "group/map_fetcher.h"

#include "inner/frame_channel.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::uint32_t max_asked_ranks = 3;

} // namespace

map_fetcher::map_fetcher(group_place own_place, std::string process, const expert_shape& size,
                         const group_directory& known_ranks, map_library& own_maps, map_record& stored)
    : place(std::move(own_place)), process_name(std::move(process)), shape(size), directory(known_ranks),
      maps(own_maps), record(stored) {}

bool map_fetcher::fetch(const map_id& wanted, std::uint32_t likely_rank) {
    if (this->maps.is_usable(wanted)) {
        return true;
    }
    const std::vector<net_address> agents = this->directory.addresses();
    for (std::uint32_t i = 0; i < std::min(max_asked_ranks, this->place.ranks); ++i) {
        const std::uint32_t rank = (likely_rank + i) % this->place.ranks;
        if (rank != this->place.rank && agents[rank].port != 0 && this->fetch_from(agents[rank], wanted)) {
            return true;
        }
    }
    const result<expert_map> stored = this->record.read();
    if (stored && identify(*stored) == wanted) {
        this->maps.add(*stored);
        return true;
    }
    return false;
}

bool map_fetcher::fetch_from(const net_address& agent, const map_id& wanted) {
    const auto reply = inner::call_stream<inner::map_response>(
        agent, this->process_name, inner::map_request{this->place.group, wanted}, config::map_call_timeout);
    if (!reply) {
        return false;
    }
    const result<expert_map> received = expert_map::make(this->shape, wanted.version, reply->slots);
    if (!received || identify(*received) != wanted) {
        return false;
    }
    this->maps.add(*received);
    return true;
}

} // namespace pomelohoist
