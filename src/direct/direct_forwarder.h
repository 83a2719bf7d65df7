#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "common/random_source.h"
#include "direct/connection_pool.h"
#include "direct/direct_request.h"
#include "direct/endpoint_avoidance.h"
#include "direct/event_tracker.h"
#include "direct/place_queue.h"
#include "direct/shared_retry_budget.h"
#include "entry/response_sink.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Sends requests straight to endpoints and passes their answers on.
namespace pomelohoist {

/// What the forwarder shares with the rest of the process.
struct forwarding_parts {
    const header_names& names;
    place_queue& places;
    connection_pool& connections;
    endpoint_avoidance& avoidance;
    shared_retry_budget& budget;
    load_tracker& board;
    random_source& random;
    const clock& time;
    structured_log& log;
    metrics_registry& metrics;
};

/// How one request ended, for logs and metrics.
struct forwarding_outcome {
    std::uint16_t status{0}; ///< 0: no answer was sent
    std::string reason;
    std::vector<std::string> endpoints; ///< instances that it was sent to
    bool may_have_run{false};
    std::uint64_t events{0};

    friend bool operator==(const forwarding_outcome&, const forwarding_outcome&) = default;
};

/// Forwards one request. Lives as long as the request.
class direct_forwarder {
  public:
    direct_forwarder(const forwarding_parts& shared, const direct_request& wanted, response_sink& answer,
                     caller_watchpoint& connection);

    forwarding_outcome run();

  private:
    /// How one send ended.
    enum class attempt_end : std::uint8_t {
        answered,        ///< the caller has its answer, or the part of it that there will be
        refused,         ///< the endpoint did not run the request
        unreached,       ///< nothing was sent
        failed,          ///< it may have run
        endpoint_failed, ///< it ran, and the endpoint answered with an error
        caller_gone,
        out_of_time,
        count
    };

    std::optional<failure> find_place();
    attempt_end attempt();
    attempt_end exchange();
    attempt_end read_answer_head(endpoint_answer& answer, steady_time until);
    attempt_end take_whole(const endpoint_answer& answer, steady_time until);
    attempt_end take_stream(const endpoint_answer& answer);
    attempt_end end_stream();
    bool pass_events(const endpoint_answer& answer, const std::string& events);
    [[nodiscard]] bool may_repeat(attempt_end end);
    [[nodiscard]] bool is_stream() const { return this->request.way->retry == retry_policy::stream; }
    [[nodiscard]] steady_time answer_limit() const;
    attempt_end judge(exchange_state state, const char* what);
    void finish(attempt_end end);
    void refuse(const failure& reason);
    void finish_without_place(const failure& reason);
    void keep_connection();

    const forwarding_parts& parts;
    const direct_request& request;
    response_sink& sink;
    caller_watchpoint& caller;
    event_tracker events;
    forwarding_outcome outcome;
    std::unique_ptr<endpoint_place> place;
    std::unique_ptr<endpoint_connection> connection;
    std::optional<full_response> endpoint_failure; ///< an endpoint's own error, passed on when no repeat follows
    std::uint32_t sends{0};                        ///< after which the request may have run
    std::uint32_t refusals{0};                     ///< by endpoints that did not run it
    bool has_begun{false};                         ///< the head of a stream was sent to the caller
};

/// Sends an error of the entry's own.
/// @param jitter in [0, 1), spreads the callers' returns
void send_own_failure(response_sink& sink, const failure& reason, double jitter);

} // namespace pomelohoist
