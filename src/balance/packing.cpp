#include "balance/packing.h"

#include <algorithm>
#include <queue>

namespace pomelohoist {

namespace {

struct packed_replica {
    double load{0.0};
    std::uint32_t expert{0};
};

struct replica_candidate {
    double load{0.0};
    std::uint32_t expert{0};
    std::uint32_t replicas{1};

    friend bool operator<(const replica_candidate& left, const replica_candidate& right) {
        return left.load / left.replicas < right.load / right.replicas;
    }
};

/// @returns the replicas of one layer, in descending order of load
std::vector<packed_replica> make_replicas(const expert_shape& shape, std::span<const double> loads) {
    std::priority_queue<replica_candidate> candidates;
    std::vector<replica_candidate> replicated_experts;
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
        candidates.push({loads[expert], expert, 1});
    }
    std::size_t surplus = shape.slots_per_layer() - shape.experts;
    while (surplus > 0 && !candidates.empty()) {
        replica_candidate top = candidates.top();
        candidates.pop();
        if (top.replicas < shape.ranks) {
            ++top.replicas;
            --surplus;
            candidates.push(top);
        } else {
            replicated_experts.push_back(top);
        }
    }
    for (; !candidates.empty(); candidates.pop()) {
        replicated_experts.push_back(candidates.top());
    }
    std::vector<packed_replica> replicas;
    for (const replica_candidate& entry : replicated_experts) {
        replicas.insert(replicas.end(), entry.replicas, {entry.load / entry.replicas, entry.expert});
    }
    std::stable_sort(replicas.begin(), replicas.end(), [](const packed_replica& left, const packed_replica& right) {
        return left.load != right.load ? left.load > right.load : left.expert < right.expert;
    });
    return replicas;
}

class layer_packer {
  public:
    layer_packer(const expert_shape& group, std::span<const double> rank_speeds, std::vector<double>& rank_totals,
                 std::span<std::uint32_t> layer_slots)
        : shape(group), speeds(rank_speeds), totals(rank_totals), slots(layer_slots), used(group.ranks, 0) {}

    /// Places a replica on the rank with the earliest expected finish.
    /// @attention omits the replica when all ranks with free slots hold its expert already
    void place(const packed_replica& replica) {
        std::uint32_t best = no_expert;
        for (std::uint32_t rank = 0; rank < this->shape.ranks; ++rank) {
            if (this->used[rank] < this->shape.slots_per_rank && !this->holds(rank, replica.expert) &&
                (best == no_expert || this->time(rank, replica.load) < this->time(best, replica.load))) {
                best = rank;
            }
        }
        if (best != no_expert) {
            this->slots[std::size_t{best} * this->shape.slots_per_rank + this->used[best]] = replica.expert;
            ++this->used[best];
            this->totals[best] += replica.load;
        }
    }

  private:
    [[nodiscard]] double time(std::uint32_t rank, double load) const {
        return (this->totals[rank] + load) / this->speeds[rank];
    }
    [[nodiscard]] bool holds(std::uint32_t rank, std::uint32_t expert) const {
        const auto rank_slots = this->slots.subspan(std::size_t{rank} * this->shape.slots_per_rank, this->used[rank]);
        return std::find(rank_slots.begin(), rank_slots.end(), expert) != rank_slots.end();
    }

    expert_shape shape;
    std::span<const double> speeds;
    std::vector<double>& totals; ///< load of each rank, including the preceding layers
    std::span<std::uint32_t> slots;
    std::vector<std::uint32_t> used; ///< filled slots of each rank
};

} // namespace

std::vector<std::uint32_t> pack_experts(const expert_shape& shape, std::span<const double> loads,
                                        std::span<const double> speeds) {
    std::vector<std::uint32_t> slots(shape.slots(), no_expert);
    std::vector<double> totals(shape.ranks, 0.0);
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
        layer_packer packer{shape, speeds, totals,
                            std::span{slots}.subspan(layer * shape.slots_per_layer(), shape.slots_per_layer())};
        for (const packed_replica& replica :
             make_replicas(shape, loads.subspan(std::size_t{layer} * shape.experts, shape.experts))) {
            packer.place(replica);
        }
    }
    return slots;
}

} // namespace pomelohoist
