#pragma once

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between the system's own processes. All durations are in milliseconds.
namespace pomelohoist::inner {

enum class message_type : std::uint8_t {
    failure_response,
    reserve_request,
    reserve_response,
    cancel_request,
    cancel_response,
    outcome_request,
    outcome_response,
    run_request,
    run_head,
    run_chunk,
    run_end,
    run_refused,
    announce,
    announce_response,
    pull_request,
    pull_response,
    suspect_report,
    suspect_ack,
    status_request,
    status_response,
    switch_prepare,
    switch_vote,
    switch_decision,
    switch_query,
    switch_state,
    suspect_query,
    suspect_state,
    run_progress,
    map_request,
    map_response,
    step_report_request,
    step_report,
    peer_update,
    routing_pull_request,
    routing_pull_response,
    rank_query,
    rank_report,
    rank_command_request,
    rank_command_response,
    count
};

/// The frame around every message, on UDP and TCP alike.
struct packet {
    std::uint8_t protocol_version{0};
    message_type type{message_type::failure_response};
    std::uint64_t call{0}; ///< number that the caller assigns and the response repeats
    bool is_response{false};
    std::string sender; ///< name of the sending process
    std::string body;   ///< serialized message

    template <class Archive> void serialize(Archive& archive) {
        archive(this->protocol_version, this->type, this->call, this->is_response, this->sender, this->body);
    }
    friend bool operator==(const packet&, const packet&) = default;
};

/// Response to a call that the receiver cannot serve.
struct failure_response {
    static constexpr message_type type = message_type::failure_response;
    error_kind kind{error_kind::internal};
    std::string reason;

    template <class Archive> void serialize(Archive& archive) { archive(this->kind, this->reason); }
    friend bool operator==(const failure_response&, const failure_response&) = default;
};

/// Requests a ticket from an agent.
struct reserve_request {
    static constexpr message_type type = message_type::reserve_request;
    std::string request_id;
    std::string workspace;
    std::string application;
    std::uint64_t configuration_version{0};
    net_address sender_address; ///< inner address of the entry, from which the agent may pull configuration
    std::string digest;         ///< hexadecimal digest of workspace and body; identifies a retried request
    std::uint64_t prefix_hash{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t max_output_tokens{0};
    priority importance{priority::normal};
    std::uint32_t deadline_ms{0}; ///< time left for the request
    bool idempotent{true};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->request_id, this->workspace, this->application, this->configuration_version, this->sender_address,
                this->digest, this->prefix_hash, this->prompt_tokens, this->max_output_tokens, this->importance,
                this->deadline_ms, this->idempotent);
    }
    friend bool operator==(const reserve_request&, const reserve_request&) = default;
};

/// A granted ticket with the agent's estimates for the request.
struct offer {
    ticket granted;
    std::uint32_t expected_wait_ms{0};        ///< time in the queue before the endpoint starts
    std::uint32_t expected_first_token_ms{0}; ///< wait plus prefill of the tokens that are not cached
    std::uint32_t cached_prefix_tokens{0};
    std::uint32_t active_requests{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->granted, this->expected_wait_ms, this->expected_first_token_ms, this->cached_prefix_tokens,
                this->active_requests);
    }
    friend bool operator==(const offer&, const offer&) = default;
};

/// An offer, or the kind of the refusal.
struct reserve_response {
    static constexpr message_type type = message_type::reserve_response;
    std::optional<offer> accepted;
    error_kind refusal{error_kind::internal}; ///< meaningful only without an offer
    std::string reason;
    std::uint32_t retry_after_ms{0};
    std::uint64_t configuration_version{0}; ///< version at the agent

    template <class Archive> void serialize(Archive& archive) {
        archive(this->accepted, this->refusal, this->reason, this->retry_after_ms, this->configuration_version);
    }
    friend bool operator==(const reserve_response&, const reserve_response&) = default;
};

enum class ticket_state : std::uint8_t {
    not_started, ///< voided; the request was never run and never will be
    running,
    completed,
    started, ///< the run has started and may have ended; no response is kept
    unknown, ///< issued by another incarnation, or no longer stored
    count
};

/// Voids a ticket unless its run has started.
struct cancel_request {
    static constexpr message_type type = message_type::cancel_request;
    ticket target;
    bool abort_running{false}; ///< also stops a run that has started (idempotent requests only)

    template <class Archive> void serialize(Archive& archive) { archive(this->target, this->abort_running); }
    friend bool operator==(const cancel_request&, const cancel_request&) = default;
};

struct cancel_response {
    static constexpr message_type type = message_type::cancel_response;
    ticket_state state{ticket_state::unknown};

    template <class Archive> void serialize(Archive& archive) { archive(this->state); }
    friend bool operator==(const cancel_response&, const cancel_response&) = default;
};

/// The full HTTP response of an endpoint, as an agent or a claim stores it.
struct stored_response {
    std::uint16_t http_status{0};
    std::string content_type;
    std::string body;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->http_status, this->content_type, this->body);
    }
    friend bool operator==(const stored_response&, const stored_response&) = default;
};

/// Queries the outcome of a non-idempotent run; voids the ticket unless its run has started. Sent over TCP.
struct outcome_request {
    static constexpr message_type type = message_type::outcome_request;
    ticket target;

    template <class Archive> void serialize(Archive& archive) { archive(this->target); }
    friend bool operator==(const outcome_request&, const outcome_request&) = default;
};

struct outcome_response {
    static constexpr message_type type = message_type::outcome_response;
    ticket_state state{ticket_state::unknown};
    std::optional<stored_response> response; ///< set only when completed

    template <class Archive> void serialize(Archive& archive) { archive(this->state, this->response); }
    friend bool operator==(const outcome_response&, const outcome_response&) = default;
};

/// One field of an HTTP header.
struct header_field {
    std::string name;
    std::string value;

    template <class Archive> void serialize(Archive& archive) { archive(this->name, this->value); }
    friend bool operator==(const header_field&, const header_field&) = default;
};

/// Presents a ticket. The first frame on its TCP connection.
struct run_request {
    static constexpr message_type type = message_type::run_request;
    ticket granted;
    reserve_request reservation; ///< must have the digest that the ticket was granted for
    trace_context trace;
    std::string method; ///< HTTP method of the request to the endpoint
    std::string path;   ///< path and query of the request to the endpoint
    std::vector<header_field> headers;
    std::string body;
    bool keep_response{false};      ///< the agent keeps the full response for `outcome_request`
    std::uint64_t fencing_epoch{0}; ///< fencing token; 0 for a request without fencing

    template <class Archive> void serialize(Archive& archive) {
        archive(this->granted, this->reservation, this->trace, this->method, this->path, this->headers, this->body,
                this->keep_response, this->fencing_epoch);
    }
    friend bool operator==(const run_request&, const run_request&) = default;
};

/// Status and header of the response.
struct run_head {
    static constexpr message_type type = message_type::run_head;
    ticket granted;
    std::uint16_t http_status{0};
    std::vector<header_field> headers;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->granted, this->http_status, this->headers);
    }
    friend bool operator==(const run_head&, const run_head&) = default;
};

/// A chunk of the response body.
struct run_chunk {
    static constexpr message_type type = message_type::run_chunk;
    ticket granted;
    std::uint64_t number{0}; ///< counts from 0
    std::string data;

    template <class Archive> void serialize(Archive& archive) { archive(this->granted, this->number, this->data); }
    friend bool operator==(const run_chunk&, const run_chunk&) = default;
};

/// End record. A response without it is incomplete.
struct run_end {
    static constexpr message_type type = message_type::run_end;
    ticket granted;
    std::uint64_t chunks{0};
    std::optional<error_kind> failed; ///< set when the run ended early
    std::string reason;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->granted, this->chunks, this->failed, this->reason);
    }
    friend bool operator==(const run_end&, const run_end&) = default;
};

/// The ticket was refused: the `run_request` on this connection did not start a run.
struct run_refused {
    static constexpr message_type type = message_type::run_refused;
    ticket granted;
    error_kind kind{error_kind::ticket_refused};
    std::string reason;

    template <class Archive> void serialize(Archive& archive) { archive(this->granted, this->kind, this->reason); }
    friend bool operator==(const run_refused&, const run_refused&) = default;
};

/// Sent when a run is queued, and again when the run starts. Not sent for a run that starts at once.
struct run_progress {
    static constexpr message_type type = message_type::run_progress;
    ticket granted;
    bool started{false}; ///< false: the run waits for the endpoint

    template <class Archive> void serialize(Archive& archive) { archive(this->granted, this->started); }
    friend bool operator==(const run_progress&, const run_progress&) = default;
};

/// Versions that the sender has in force; exchanged between peers.
struct announce {
    static constexpr message_type type = message_type::announce;
    net_address sender_address;
    std::string data_centre;
    std::uint64_t configuration_version{0};
    std::uint64_t host_list_version{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->sender_address, this->data_centre, this->configuration_version, this->host_list_version);
    }
    friend bool operator==(const announce&, const announce&) = default;
};

struct announce_response {
    static constexpr message_type type = message_type::announce_response;
    std::uint64_t configuration_version{0};
    std::uint64_t host_list_version{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->configuration_version, this->host_list_version);
    }
    friend bool operator==(const announce_response&, const announce_response&) = default;
};

/// Requests everything newer than the given versions. Sent over TCP.
struct pull_request {
    static constexpr message_type type = message_type::pull_request;
    std::uint64_t configuration_version{0};
    std::uint64_t host_list_version{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->configuration_version, this->host_list_version);
    }
    friend bool operator==(const pull_request&, const pull_request&) = default;
};

/// Deltas in order, or a snapshot when the deltas are no longer kept.
struct pull_response {
    static constexpr message_type type = message_type::pull_response;
    std::uint64_t configuration_version{0};
    std::vector<std::string> deltas; ///< serialized `configuration_delta`, ascending and without gaps
    std::string snapshot;            ///< serialized configuration, empty when the deltas suffice
    std::uint64_t host_list_version{0};
    std::vector<std::string> leaving_hosts; ///< full list, when its version is higher than that of the request

    template <class Archive> void serialize(Archive& archive) {
        archive(this->configuration_version, this->deltas, this->snapshot, this->host_list_version,
                this->leaving_hosts);
    }
    friend bool operator==(const pull_response&, const pull_response&) = default;
};

/// A run that was in flight when its endpoint crashed.
struct suspected_run {
    std::string digest; ///< as in `reserve_request`
    ticket run;         ///< the agent and an entry may both report the run; the run counts once

    template <class Archive> void serialize(Archive& archive) { archive(this->digest, this->run); }
    friend bool operator==(const suspected_run&, const suspected_run&) = default;
};

/// Runs that were in flight when their endpoint crashed.
struct suspect_report {
    static constexpr message_type type = message_type::suspect_report;
    std::string event_id;   ///< identifies the crash, which counts once for each digest however often it is reported
    bool agent_lost{false}; ///< an entry inferred the crash from the loss of the agent
    std::vector<suspected_run> runs; ///< all runs in flight at the crash, or some of them

    template <class Archive> void serialize(Archive& archive) { archive(this->event_id, this->agent_lost, this->runs); }
    friend bool operator==(const suspect_report&, const suspect_report&) = default;
};

struct suspect_ack {
    static constexpr message_type type = message_type::suspect_ack;
    std::string event_id;

    template <class Archive> void serialize(Archive& archive) { archive(this->event_id); }
    friend bool operator==(const suspect_ack&, const suspect_ack&) = default;
};

/// Requests the suspects that a peer has recorded. Sent over TCP by an agent that has just started.
struct suspect_query {
    static constexpr message_type type = message_type::suspect_query;
    std::uint8_t reserved{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->reserved); }
    friend bool operator==(const suspect_query&, const suspect_query&) = default;
};

/// A crash during which a run of the suspect was in flight.
struct known_crash {
    std::string event_id;
    ticket run;

    template <class Archive> void serialize(Archive& archive) { archive(this->event_id, this->run); }
    friend bool operator==(const known_crash&, const known_crash&) = default;
};

struct known_suspect {
    std::string digest;
    std::vector<known_crash> crashes;
    std::uint32_t expires_in_ms{0};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->digest, this->crashes, this->expires_in_ms);
    }
    friend bool operator==(const known_suspect&, const known_suspect&) = default;
};

struct suspect_state {
    static constexpr message_type type = message_type::suspect_state;
    bool complete{false}; ///< false until the sender has queried its own peers
    std::vector<known_suspect> suspects;

    template <class Archive> void serialize(Archive& archive) { archive(this->complete, this->suspects); }
    friend bool operator==(const suspect_state&, const suspect_state&) = default;
};

struct status_request {
    static constexpr message_type type = message_type::status_request;
    std::uint8_t reserved{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->reserved); }
    friend bool operator==(const status_request&, const status_request&) = default;
};

struct status_response {
    static constexpr message_type type = message_type::status_response;
    std::string name;
    std::string role; ///< "entry" or "agent"
    std::string data_centre;
    std::uint64_t configuration_version{0};
    std::uint64_t host_list_version{0};
    std::uint32_t queued{0};
    std::uint32_t running{0};
    bool draining{false};
    bool healthy{false};

    template <class Archive> void serialize(Archive& archive) {
        archive(this->name, this->role, this->data_centre, this->configuration_version, this->host_list_version,
                this->queued, this->running, this->draining, this->healthy);
    }
    friend bool operator==(const status_response&, const status_response&) = default;
};

} // namespace pomelohoist::inner
