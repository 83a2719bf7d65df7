#pragma once

#include "inner/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages of the map switch between the agents of one group. Datagrams identify a map by version and digest; the
/// content of a map may exceed a datagram and is sent over TCP.
namespace pomelohoist::inner {

/// Number by which the proposals of one group are ordered. Unique: no two incarnations propose with the same ballot.
struct switch_ballot {
    std::uint64_t epoch{0}; ///< epoch of the lease; 0 before any lease was seen
    std::uint64_t round{0};
    std::uint32_t rank{0};        ///< proposer
    std::uint64_t incarnation{0}; ///< of the proposing process

    template <class Archive> void serialize(Archive& archive) {
        archive(this->epoch, this->round, this->rank, this->incarnation);
    }
    // clang-tidy mistakes the 0 in the rewritten `<` of a defaulted comparison for a null pointer.
    friend auto operator<=>(const switch_ballot&, const switch_ballot&) = default; // NOLINT(modernize-use-nullptr)
};

/// Identifies a map. After an aborted switch another map may get the same version, so the digest is needed too.
struct map_id {
    std::uint64_t version{0};
    std::uint64_t digest{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->version, this->digest); }
    friend bool operator==(const map_id&, const map_id&) = default;
};

/// A map and the first step that uses it.
struct map_start {
    map_id map;
    std::uint64_t from_step{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->map, this->from_step); }
    friend bool operator==(const map_start&, const map_start&) = default;
};

/// Sent by the lease holder. The rank must start no step from `next.from_step` on until it receives the outcome.
struct switch_prepare {
    static constexpr message_type type = message_type::switch_prepare;
    std::string group;
    switch_ballot ballot; ///< identifies the switch; its epoch is that of the lease
    map_id base;          ///< map that the switch replaces
    map_start next;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->group, this->ballot, this->base, this->next);
    }
    friend bool operator==(const switch_prepare&, const switch_prepare&) = default;
};

struct switch_vote {
    static constexpr message_type type = message_type::switch_vote;
    std::uint32_t rank{0};
    switch_ballot ballot; ///< identifies the switch that the vote is for
    bool promised{false};
    bool ignored{false};        ///< the agent is in recovery and neither promises nor refuses
    switch_ballot highest;      ///< highest ballot that the agent has seen
    std::uint64_t next_step{0}; ///< first step that the rank has not started
    std::string reason;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->rank, this->ballot, this->promised, this->ignored, this->highest, this->next_step, this->reason);
    }
    friend bool operator==(const switch_vote&, const switch_vote&) = default;
};

/// The outcome of a switch: the map that is in force afterwards.
struct switch_decision {
    static constexpr message_type type = message_type::switch_decision;
    std::string group;
    switch_ballot ballot;
    bool from_coordinator{false}; ///< sent by the coordinator; otherwise by a recovery
    map_start in_force;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->group, this->ballot, this->from_coordinator, this->in_force);
    }
    friend bool operator==(const switch_decision&, const switch_decision&) = default;
};

/// Queries the committed map and the highest ballot of a rank, and raises that ballot.
struct switch_query {
    static constexpr message_type type = message_type::switch_query;
    std::string group;
    switch_ballot ballot;
    bool is_read{false}; ///< true: requests the highest ballot only and raises nothing

    template <class Archive> void serialize(Archive& archive) { archive(this->group, this->ballot, this->is_read); }
    friend bool operator==(const switch_query&, const switch_query&) = default;
};

/// Committed map and highest ballot of a rank; also acknowledges a decision.
struct switch_state {
    static constexpr message_type type = message_type::switch_state;
    std::uint32_t rank{0};
    bool has_responded{false};              ///< false: the query was not served and only `highest` is valid
    switch_ballot ballot;                   ///< of the query that this message responds to
    switch_ballot highest;                  ///< highest ballot that the agent has seen
    std::optional<map_start> committed_map; ///< latest committed map at the agent

    template <class Archive> void serialize(Archive& archive) {
        archive(this->rank, this->has_responded, this->ballot, this->highest, this->committed_map);
    }
    friend bool operator==(const switch_state&, const switch_state&) = default;
};

/// Requests the content of a map. Sent over TCP.
struct map_request {
    static constexpr message_type type = message_type::map_request;
    std::string group;
    map_id map;

    template <class Archive> void serialize(Archive& archive) { archive(this->group, this->map); }
    friend bool operator==(const map_request&, const map_request&) = default;
};

struct map_response {
    static constexpr message_type type = message_type::map_response;
    std::vector<std::uint32_t> slots; ///< in the order layer, rank, slot; empty when the receiver does not have the map

    template <class Archive> void serialize(Archive& archive) { archive(this->slots); }
    friend bool operator==(const map_response&, const map_response&) = default;
};

/// Requests the measurements of one step. Sent over TCP.
struct step_report_request {
    static constexpr message_type type = message_type::step_report_request;
    std::string group;
    std::uint64_t step{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->group, this->step); }
    friend bool operator==(const step_report_request&, const step_report_request&) = default;
};

/// Measurements of one step at one rank.
struct step_report {
    static constexpr message_type type = message_type::step_report;
    std::uint64_t step{0};
    map_start in_force;         ///< map that the step used
    double time_ms{0};          ///< 0 when the rank has no record of the step
    std::vector<double> tokens; ///< processed by each expert slot of this rank, in the order layer, slot

    template <class Archive> void serialize(Archive& archive) {
        archive(this->step, this->in_force, this->time_ms, this->tokens);
    }
    friend bool operator==(const step_report&, const step_report&) = default;
};

} // namespace pomelohoist::inner
