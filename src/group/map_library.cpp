#include "group/map_library.h"

#include "common/digest.h"

#include <pomelohoist/config.h>

#include <algorithm>
#include <string>

namespace pomelohoist {

map_id identify(const expert_map& map) {
    const expert_shape& shape = map.shape();
    std::string bytes;
    bytes.reserve((map.slots().size() + 4) * sizeof(std::uint32_t));
    // Appends the lowest byte first, so that the digest does not depend on the byte order of the host.
    const auto append = [&bytes](std::uint32_t number) {
        for (std::size_t i = 0; i < sizeof(number); ++i) {
            bytes.push_back(static_cast<char>(number >> (8U * i) & 0xFFU));
        }
    };
    for (const std::uint32_t size : {shape.ranks, shape.experts, shape.layers, shape.slots_per_rank}) {
        append(size);
    }
    for (const std::uint32_t expert : map.slots()) {
        append(expert);
    }
    return {map.version(), hash64(bytes)};
}

map_id map_library::add(const expert_map& map) {
    const map_id id = identify(map);
    const std::lock_guard lock{this->mutex};
    const auto found =
        std::find_if(this->maps.begin(), this->maps.end(), [&id](const kept_map& kept) { return kept.id == id; });
    if (found == this->maps.end()) {
        this->maps.push_back({id, std::make_shared<const expert_map>(map)});
    }
    if (this->maps.size() > config::kept_maps) {
        this->maps.pop_front();
    }
    return id;
}

map_ptr map_library::find(const map_id& id) const {
    const std::lock_guard lock{this->mutex};
    const auto found =
        std::find_if(this->maps.begin(), this->maps.end(), [&id](const kept_map& kept) { return kept.id == id; });
    return found == this->maps.end() ? nullptr : found->map;
}

} // namespace pomelohoist
