#pragma once

#include "inner/messages.h"
#include "ranks/rank_engine.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <vector>

/// Messages between the processes beside the ranks of a group. TCP.
namespace pomelohoist::inner {

/// Asks the process beside a rank for the rank's state and, if wanted, its counts.
struct rank_query {
    static constexpr message_type type = message_type::rank_query;
    bool with_counts{false};
    bool with_experts{false};

    template <class Archive> void serialize(Archive& archive) { archive(this->with_counts, this->with_experts); }
    friend bool operator==(const rank_query&, const rank_query&) = default;
};

struct rank_report {
    static constexpr message_type type = message_type::rank_report;
    rank_state state;
    std::vector<std::uint64_t> counts; ///< in the order layer, expert; empty when not wanted
    std::optional<rank_experts> experts;

    template <class Archive> void serialize(Archive& archive) { archive(this->state, this->counts, this->experts); }
    friend bool operator==(const rank_report&, const rank_report&) = default;
};

/// Gives an order to the rank beside the receiving process.
struct rank_order_request {
    static constexpr message_type type = message_type::rank_order_request;
    rank_order order;

    template <class Archive> void serialize(Archive& archive) { archive(this->order); }
    friend bool operator==(const rank_order_request&, const rank_order_request&) = default;
};

struct rank_order_reply {
    static constexpr message_type type = message_type::rank_order_reply;
    order_outcome outcome{order_outcome::unanswered};

    template <class Archive> void serialize(Archive& archive) { archive(this->outcome); }
    friend bool operator==(const rank_order_reply&, const rank_order_reply&) = default;
};

} // namespace pomelohoist::inner
