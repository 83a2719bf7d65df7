#include "ranks/map_around.h"

#include <algorithm>

namespace pomelohoist {

std::optional<std::vector<std::uint16_t>> map_around(const expert_shape& shape, std::uint32_t rank,
                                                     const rank_experts& held) {
    std::vector<std::uint16_t> slots(shape.slots(), static_cast<std::uint16_t>(no_expert));
    if (held.by_layer.size() != shape.layers || rank >= shape.ranks) {
        return std::nullopt;
    }
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        const std::vector<std::uint32_t>& own = held.by_layer[layer];
        if (own.size() > shape.slots_per_rank) {
            return std::nullopt;
        }
        const std::size_t first = layer * shape.slots_per_layer();
        const std::size_t own_begin = first + std::size_t{rank} * shape.slots_per_rank;
        const std::size_t own_end = own_begin + shape.slots_per_rank;
        std::copy(own.begin(), own.end(), slots.begin() + static_cast<std::ptrdiff_t>(own_begin));
        std::size_t next = first;
        for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
            if (std::find(own.begin(), own.end(), expert) != own.end()) {
                continue;
            }
            next = next == own_begin ? own_end : next;
            if (next >= first + shape.slots_per_layer()) {
                return std::nullopt;
            }
            slots[next++] = static_cast<std::uint16_t>(expert);
        }
    }
    return slots;
}

} // namespace pomelohoist
