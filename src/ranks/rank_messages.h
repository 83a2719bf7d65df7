#pragma once

#include "inner/messages.h"
#include "ranks/rank_engine.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <vector>

/// Messages between the rank processes of a group, over TCP.
namespace pomelohoist::inner {

/// Queries the state of a rank and, optionally, its counts and experts.
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
    std::vector<std::uint64_t> counts; ///< in the order layer, expert; empty when not requested
    std::optional<rank_experts> experts;

    template <class Archive> void serialize(Archive& archive) { archive(this->state, this->counts, this->experts); }
    friend bool operator==(const rank_report&, const rank_report&) = default;
};

/// Sends a command to the local rank of the receiving process.
struct rank_command_request {
    static constexpr message_type type = message_type::rank_command_request;
    rank_command command;

    template <class Archive> void serialize(Archive& archive) { archive(this->command); }
    friend bool operator==(const rank_command_request&, const rank_command_request&) = default;
};

struct rank_command_response {
    static constexpr message_type type = message_type::rank_command_response;
    command_outcome outcome{command_outcome::no_response};

    template <class Archive> void serialize(Archive& archive) { archive(this->outcome); }
    friend bool operator==(const rank_command_response&, const rank_command_response&) = default;
};

} // namespace pomelohoist::inner
