#pragma once

#include "direct/crash_messages.h"
#include "direct/endpoint_reading.h"
#include "direct/endpoint_statements.h"
#include "direct/evacuation_list.h"
#include "direct/routing_state.h"
#include "direct/routing_table.h"
#include "inner/messages.h"
#include "placement/load_tracker.h"
#include "placement/unread_prompts.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages of direct forwarding between processes. Durations are in milliseconds.
namespace pomelohoist::inner {

/// The rank of an expert-parallel group that a process manages.
struct rank_info {
    std::string group;
    std::uint32_t rank{0};
    net_address engine; ///< address at which the rank accepts commands and requests
    bool is_open{true}; ///< false while the group is broken: it refuses requests until it has been formed again
    /// The sender coordinates the group's map switches and sends updates to the group more often.
    bool is_coordinating{false};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->group, this->rank, this->engine, this->is_open, this->is_coordinating);
    }
    friend bool operator==(const rank_info&, const rank_info&) = default;
};

/// State update of one process: its identity, the versions that it uses, and the load that it has placed. The update is
/// a one-way datagram. It is sent periodically, so a lost datagram needs no retransmission.
struct peer_update {
    static constexpr message_type type = message_type::peer_update;
    std::string sender;
    bool is_entry{false};
    std::uint64_t sequence{0}; ///< grows with each datagram of the sender; starts at its monotonic clock's time in ns
    std::uint64_t routing_version{0};
    std::uint64_t endpoints_revision{0};
    std::int64_t store_age_ms{-1}; ///< time since the newest read of the store that the sender knows of; -1 for none
    std::vector<endpoint_load> loads;
    std::optional<rank_info> local_rank;
    std::uint32_t quarantine_summary{0}; ///< `crash_quarantine::summary`
    std::optional<crash_evidence> evidence;
    std::vector<reported_limit> limits;
    std::vector<reported_leave> leaves;
    std::optional<std::uint64_t> evacuations_revision; ///< absent while there has never been an evacuation
    std::optional<std::vector<unread_load>> unread;    ///< empty when all prompts of the sender are read
    std::optional<std::vector<reported_cold>> cold;    ///< absent while there is none

    [[nodiscard]] routing_versions versions() const {
        return {this->routing_version, this->endpoints_revision, this->evacuations_revision.value_or(0)};
    }
    template <class Archive> void serialize(Archive& archive) {
        archive(this->sender, this->is_entry, this->sequence, this->routing_version, this->endpoints_revision,
                this->store_age_ms, this->loads, this->local_rank, this->quarantine_summary, this->evidence,
                this->limits, this->leaves, this->evacuations_revision, this->unread, this->cold);
    }
    friend bool operator==(const peer_update&, const peer_update&) = default;
};

/// Requests what is newer than the sender's versions. Sent over TCP.
struct routing_pull_request {
    static constexpr message_type type = message_type::routing_pull_request;
    routing_versions known;

    template <class Archive> void serialize(Archive& archive) { archive(this->known); }
    friend bool operator==(const routing_pull_request&, const routing_pull_request&) = default;
};

/// Contains only the parts that are newer than those of the request.
struct routing_pull_response {
    static constexpr message_type type = message_type::routing_pull_response;
    std::optional<routing_content> routing;
    std::optional<endpoint_reading> endpoints;
    std::vector<reported_quarantine> quarantines; ///< all in force
    std::optional<evacuation_list> evacuations;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->routing, this->endpoints, this->quarantines, this->evacuations);
    }
    friend bool operator==(const routing_pull_response&, const routing_pull_response&) = default;
};

} // namespace pomelohoist::inner
