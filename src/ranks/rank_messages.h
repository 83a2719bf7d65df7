#pragma once

#include "inner/messages.h"
#include "ranks/rank_engine.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between the rank processes of a group, over TCP.
namespace pomelohoist::inner {

/// Queries the state of a rank and, optionally, its counts and experts.
struct rank_query {
    static constexpr message_type type = message_type::rank_query;
    bool with_counts{false};
    bool with_experts{false};
    std::uint64_t counts_base{0}; ///< number of the read whose counts the sender has, or 0

    template <class Archive> void serialize(Archive& archive) {
        archive(this->with_counts, this->with_experts, this->counts_base);
    }
    friend bool operator==(const rank_query&, const rank_query&) = default;
};

struct rank_report {
    static constexpr message_type type = message_type::rank_report;
    rank_state state;
    std::uint64_t counts_read{0}; ///< number of this read of the counts, never 0; 0 when `counts` is empty
    std::uint64_t counts_base{0}; ///< number of the read from which `counts` has the difference; 0 for full counts
    std::string counts;           ///< see rank_delta.h; empty when not requested
    std::optional<rank_experts> experts;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->state, this->counts_read, this->counts_base, this->counts, this->experts);
    }
    friend bool operator==(const rank_report&, const rank_report&) = default;
};

/// Sends a command to the local rank of the receiving process.
struct rank_command_request {
    static constexpr message_type type = message_type::rank_command_request;
    rank_command command;
    /// Version of the map from which `slot_changes` has the difference; 0 when the command contains all slots.
    std::uint64_t base_version{0};
    std::string slot_changes; ///< see rank_delta.h

    template <class Archive> void serialize(Archive& archive) {
        archive(this->command, this->base_version, this->slot_changes);
    }
    friend bool operator==(const rank_command_request&, const rank_command_request&) = default;
};

struct rank_command_response {
    static constexpr message_type type = message_type::rank_command_response;
    command_outcome outcome{command_outcome::no_response};

    template <class Archive> void serialize(Archive& archive) { archive(this->outcome); }
    friend bool operator==(const rank_command_response&, const rank_command_response&) = default;
};

} // namespace pomelohoist::inner
