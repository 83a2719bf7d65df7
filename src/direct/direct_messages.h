#pragma once

#include "direct/endpoint_list.h"
#include "direct/load_tracker.h"
#include "direct/routing_table.h"
#include "inner/messages.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages of direct forwarding between processes. Durations are in milliseconds.
namespace pomelohoist::inner {

/// The rank of an expert-parallel group that a process runs beside.
struct rank_info {
    std::string group;
    std::uint32_t rank{0};
    net_address engine;          ///< where the rank takes orders and requests
    bool is_open{true};          ///< the group serves; a broken one refuses requests until it has formed anew
    bool is_coordinating{false}; ///< the sender switches the maps of the group, and tells its peers there often

    template <class Archive> void serialize(Archive& archive) {
        archive(this->group, this->rank, this->engine, this->is_open, this->is_coordinating);
    }
    friend bool operator==(const rank_info&, const rank_info&) = default;
};

/// One-way datagram: who is there, what is in force there, which load it has placed. Sent again and again, so a lost
/// one needs no answer.
struct peer_update {
    static constexpr message_type type = message_type::peer_update;
    std::string sender;
    bool is_entry{false};
    std::uint64_t sequence{0}; ///< grows with each datagram of a process; starts at its start time
    std::uint64_t routing_version{0};
    std::uint64_t endpoints_revision{0};
    std::int64_t store_age_ms{-1}; ///< since the newest read of the store that the sender knows of; -1 for none
    std::vector<endpoint_load> loads;
    std::optional<rank_info> beside;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->sender, this->is_entry, this->sequence, this->routing_version, this->endpoints_revision,
                this->store_age_ms, this->loads, this->beside);
    }
    friend bool operator==(const peer_update&, const peer_update&) = default;
};

/// Asks for what is newer than the caller's view. TCP.
struct routing_pull_request {
    static constexpr message_type type = message_type::routing_pull_request;
    std::uint64_t routing_version{0};
    std::uint64_t endpoints_revision{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->routing_version, this->endpoints_revision);
    }
    friend bool operator==(const routing_pull_request&, const routing_pull_request&) = default;
};

struct routing_pull_response {
    static constexpr message_type type = message_type::routing_pull_response;
    std::optional<routing_content> routing;
    std::optional<endpoint_list> endpoints;

    template <class Archive> void serialize(Archive& archive) { archive(this->routing, this->endpoints); }
    friend bool operator==(const routing_pull_response&, const routing_pull_response&) = default;
};

} // namespace pomelohoist::inner
