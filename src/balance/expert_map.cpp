#include <pomelohoist/expert_balance.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace pomelohoist {

namespace {

std::vector<std::uint32_t> initial_slots(const expert_shape& size) {
    std::vector<std::uint32_t> content(size.slots(), no_expert);
    // A rank with more slots than experts leaves the surplus empty: a second copy on the same rank carries no load.
    const std::size_t used = std::min(size.slots_per_rank, size.experts);
    for (std::size_t i = 0; i < content.size(); ++i) {
        const std::size_t rank = i / size.slots_per_rank % size.ranks;
        const std::size_t slot = i % size.slots_per_rank;
        if (slot < used) {
            content[i] = static_cast<std::uint32_t>((rank * used + slot) % size.experts);
        }
    }
    return content;
}

failure invalid_map(std::uint32_t layer, const std::string& reason) {
    return failure{error_kind::bad_request, "expert map: layer " + std::to_string(layer) + ": " + reason};
}

/// @returns the first error in a layer, if any
std::optional<failure> check_layer(const expert_shape& size, std::uint32_t layer,
                                   std::span<const std::uint32_t> slots) {
    constexpr std::uint32_t no_rank = no_expert;
    std::vector<std::uint32_t> last_rank(size.experts, no_rank);
    for (std::size_t i = 0; i < slots.size(); ++i) {
        const std::uint32_t expert = slots[i];
        if (expert == no_expert) {
            continue;
        }
        if (expert >= size.experts) {
            return invalid_map(layer, "no expert " + std::to_string(expert));
        }
        const auto rank = static_cast<std::uint32_t>(i / size.slots_per_rank);
        if (last_rank[expert] == rank) {
            return invalid_map(layer, "expert " + std::to_string(expert) + " twice on rank " + std::to_string(rank));
        }
        last_rank[expert] = rank;
    }
    for (std::uint32_t expert = 0; expert < size.experts; ++expert) {
        if (last_rank[expert] == no_rank) {
            return invalid_map(layer, "expert " + std::to_string(expert) + " on no rank");
        }
    }
    return std::nullopt;
}

} // namespace

expert_map::expert_map(const expert_shape& size) : size(size), content(initial_slots(size)) {}

expert_map::expert_map(const expert_shape& size, std::uint64_t version, std::vector<std::uint32_t> slots)
    : size(size), number(version), content(std::move(slots)) {}

result<expert_map> expert_map::make(const expert_shape& size, std::uint64_t version,
                                    std::vector<std::uint32_t> content) {
    if (content.size() != size.slots()) {
        return failure{error_kind::bad_request, "expert map: " + std::to_string(content.size()) + " slots instead of " +
                                                    std::to_string(size.slots())};
    }
    for (std::uint32_t layer = 0; layer < size.layers; ++layer) {
        const std::span<const std::uint32_t> slots{content};
        const auto fault =
            check_layer(size, layer, slots.subspan(layer * size.slots_per_layer(), size.slots_per_layer()));
        if (fault) {
            return *fault;
        }
    }
    return expert_map{size, version, std::move(content)};
}

bool expert_map::holds(std::uint32_t layer, std::uint32_t rank, std::uint32_t expert) const {
    for (std::uint32_t slot = 0; slot < this->size.slots_per_rank; ++slot) {
        if (this->expert_at(layer, rank, slot) == expert) {
            return true;
        }
    }
    return false;
}

result<expert_map> expert_map::with_moves(std::span<const expert_move> moves) const {
    std::vector<std::uint32_t> next = this->content;
    for (const expert_move& move : moves) {
        if (move.layer >= this->size.layers || move.rank >= this->size.ranks ||
            move.slot >= this->size.slots_per_rank) {
            return failure{error_kind::bad_request, "expert map: a move names a slot that does not exist"};
        }
        next[move.layer * this->size.slots_per_layer() + std::size_t{move.rank} * this->size.slots_per_rank +
             move.slot] = move.expert;
    }
    return make(this->size, this->number + 1, std::move(next));
}

std::uint64_t count_copies(const expert_map& before, const expert_map& after) {
    const expert_shape& size = after.shape();
    std::uint64_t copies = 0;
    for (std::uint32_t layer = 0; layer < size.layers; ++layer) {
        for (std::uint32_t rank = 0; rank < size.ranks; ++rank) {
            for (std::uint32_t slot = 0; slot < size.slots_per_rank; ++slot) {
                const std::uint32_t expert = after.expert_at(layer, rank, slot);
                const bool is_new = expert != no_expert && before.expert_at(layer, rank, slot) != expert &&
                                    !before.holds(layer, rank, expert);
                copies += is_new ? 1 : 0;
            }
        }
    }
    return copies;
}

std::vector<double> rank_loads(const expert_map& map, std::span<const double> tokens) {
    const expert_shape& size = map.shape();
    const std::span<const std::uint32_t> slots = map.slots();
    std::vector<double> loads(size.ranks, 0.0);
    std::vector<std::uint32_t> replicas(size.experts);
    for (std::uint32_t layer = 0; layer < size.layers; ++layer) {
        const auto layer_slots = slots.subspan(layer * size.slots_per_layer(), size.slots_per_layer());
        const auto layer_tokens = tokens.subspan(std::size_t{layer} * size.experts, size.experts);
        std::fill(replicas.begin(), replicas.end(), 0);
        for (const std::uint32_t expert : layer_slots) {
            if (expert != no_expert) {
                ++replicas[expert];
            }
        }
        for (std::size_t i = 0; i < layer_slots.size(); ++i) {
            const std::uint32_t expert = layer_slots[i];
            if (expert != no_expert) {
                loads[i / size.slots_per_rank] += layer_tokens[expert] / replicas[expert];
            }
        }
    }
    return loads;
}

} // namespace pomelohoist
