#pragma once

#include "common/random_source.h"
#include "direct/caller_connection_monitor.h"
#include "direct/endpoint_statements.h"
#include "direct/peer_link.h"
#include "direct/routing_state.h"
#include "placement/cold_start_limit.h"
#include "placement/cooldown_tracker.h"
#include "placement/endpoint_choice.h"
#include "placement/load_tracker.h"
#include "placement/stream_capacity.h"
#include "placement/unread_prompts.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Admits requests to endpoints. Requests that find no capacity wait in a queue, ordered by importance and then by age.
namespace pomelohoist {

/// Permit to use one unit of an endpoint's capacity, held until the request has ended there.
class endpoint_permit {
  public:
    /// @param tokens of the request's prompt
    /// @param tokens_per_s rate at which the endpoint reads prompts, or 0 when it is unknown
    endpoint_permit(endpoint_record endpoint_info, load_tracker& loads, unread_prompts& unread, peer_link& link,
                    std::uint32_t tokens, double tokens_per_s);
    ~endpoint_permit();
    endpoint_permit(const endpoint_permit&) = delete;
    endpoint_permit& operator=(const endpoint_permit&) = delete;

    /// Records that the endpoint has read the prompt of the request.
    void record_read();

    const endpoint_record endpoint;
    const endpoint_digest digest;
    const std::chrono::microseconds prompt_wait; ///< until the endpoint reads the prompt, as predicted

  private:
    load_tracker& tracker;
    unread_prompts& prompts;
    peer_link& peers;
    unread_prompts::prompt_id prompt;
};

/// Properties of a request that decide about its admission.
struct admission_request {
    std::string service;
    bool is_stream{false};
    std::uint32_t importance{0};     ///< 0 is the most important
    std::vector<std::string> tried;  ///< instances that this request was already sent to
    steady_time until;               ///< latest time to wait for capacity
    steady_time until_open;          ///< latest time to wait while no endpoint of the service serves
    std::uint32_t more_important{0}; ///< levels of importance above its own, for streams of services with a limit
    std::uint32_t prompt_tokens{0};  ///< 0 when unknown

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// Result of an admission.
enum class admission_outcome : std::uint8_t {
    admitted,
    full,        ///< no capacity became free in time
    closed,      ///< the groups of all untried endpoints are being formed again and did not open in time
    paused,      ///< all endpoints want a pause that does not end in time
    no_endpoint, ///< no endpoint of the service is known, or all were tried
    caller_disconnected,
    count
};

struct admission_result {
    admission_outcome outcome{admission_outcome::no_endpoint};
    std::unique_ptr<endpoint_permit> permit; ///< set when `admitted`
    std::chrono::milliseconds pause_left{0}; ///< the shortest pause, when `paused`
    std::string statement; ///< when not admitted: an endpoint's statement that kept the request from it, or empty
};

/// Handles overload: waiting requests are admitted by importance, then in the order of arrival, and a request is
/// refused when its wait has reached its limit. A retry waits for fewer endpoints than other requests and does not hold
/// these up. Thread-safe.
class admission_queue {
  public:
    admission_queue(routing_state& current_state, load_tracker& loads, unread_prompts& unread, peer_link& link,
                    cooldown_tracker& recent_failures, endpoint_statements& stated, cold_start_limit& cold_endpoints,
                    stream_capacity& carried_streams, random_source& randomness, const clock& time_source);

    /// Waits until the request is admitted, its time limit has passed or its caller has disconnected.
    admission_result acquire(const admission_request& request, caller_connection_monitor& caller);
    /// Makes the waiting requests check for capacity again.
    void wake();
    [[nodiscard]] std::size_t waiting() const;

  private:
    struct waiting_key {
        std::uint32_t importance{0};
        std::uint64_t number{0};
        // NOLINTNEXTLINE(modernize-use-nullptr): the 0 that `<` is rewritten to is taken for a null pointer
        friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
    };

    /// Waiting requests of one service; the value is true for retries.
    using waiting_queue = std::map<waiting_key, bool>;

    admission_result try_admit(const admission_request& request);
    /// Endpoints that may be considered for the request.
    struct candidate_list;
    [[nodiscard]] candidate_list find_candidates(const admission_request& request, const routing_snapshot& snapshot);
    /// Applies the limit of the service's streams to the candidates.
    void limit_streams(const admission_request& request, std::vector<endpoint_candidate>& candidates);
    /// @returns true when capacity that becomes free is not for an earlier request
    static bool is_next(const waiting_queue& queue, const waiting_key& own);

    routing_state& state;
    load_tracker& tracker;
    unread_prompts& prompts;
    peer_link& peers;
    cooldown_tracker& cooldowns;
    endpoint_statements& statements;
    cold_start_limit& cold;
    stream_capacity& capacity;
    random_source& random;
    const clock& time;
    mutable std::mutex mutex;
    std::condition_variable freed;
    std::map<std::string, waiting_queue> waiting_by_service;
    std::uint64_t next_number{0};
};

} // namespace pomelohoist
