#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "common/random_source.h"
#include "direct/admission_queue.h"
#include "direct/buffer_budget.h"
#include "direct/connection_pool.h"
#include "direct/crash_reporter.h"
#include "direct/direct_request.h"
#include "direct/endpoint_statements.h"
#include "direct/event_tracker.h"
#include "entry/response_sink.h"
#include "placement/cooldown_tracker.h"
#include "placement/shared_retry_budget.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Sends requests directly to endpoints and forwards their responses.
namespace pomelohoist {

/// Parts of the process that all forwarders use.
struct forwarding_parts {
    const header_names& names;
    admission_queue& admission;
    connection_pool& connections;
    cooldown_tracker& cooldowns;
    shared_retry_budget& budget;
    buffer_budget& buffers;
    load_tracker& tracker;
    random_source& random;
    const clock& time;
    structured_log& log;
    metrics_registry& metrics;
    crash_reporter& crashes;
    endpoint_statements& statements;
    stream_capacity& capacity;
    importance_levels& levels;
};

/// How one request ended, for logs and metrics.
struct forwarding_outcome {
    std::uint16_t status{0}; ///< 0 when no response was sent
    std::string reason;
    std::vector<std::string> endpoints; ///< instances that the request was sent to
    bool may_have_run{false};
    std::uint64_t events{0};
    std::optional<std::chrono::microseconds> prompt_wait; ///< predicted at the last endpoint, before the prompt is read
    std::optional<std::chrono::milliseconds> first_event; ///< from the arrival to the first event of a stream
    std::chrono::milliseconds longest_gap{0};             ///< between two events

    friend bool operator==(const forwarding_outcome&, const forwarding_outcome&) = default;
};

/// Forwards one request. Lives as long as the request.
class direct_forwarder {
  public:
    direct_forwarder(const forwarding_parts& process_parts, const direct_request& resolved,
                     response_sink& caller_response, caller_connection_monitor& caller_connection);

    forwarding_outcome run();

  private:
    /// Result of sending the request to one endpoint.
    enum class attempt_end : std::uint8_t {
        responded,       ///< the response was forwarded to the caller
        refused,         ///< the endpoint did not run the request
        unreached,       ///< no connection, so that nothing was sent
        failed,          ///< the request may have run
        endpoint_failed, ///< the request ran, and the endpoint responded with an error
        caller_disconnected,
        out_of_time,
        count
    };

    [[nodiscard]] bool is_quarantined() const { return this->parts.crashes.is_quarantined(this->request); }
    [[nodiscard]] admission_request make_admission_request() const;
    /// @returns why no permit was acquired, or nothing on success
    std::optional<failure> acquire_permit();
    attempt_end attempt();
    attempt_end exchange();
    /// Reports the end of the run to the crash reporter.
    void report_run(attempt_end end);
    attempt_end read_response_head(http_response_head& response, steady_time until);
    attempt_end forward_full_response(const http_response_head& response, steady_time until);
    attempt_end forward_stream(const http_response_head& response);
    attempt_end end_stream();
    /// Records the time at which events of a stream have arrived.
    void record_events();
    bool forward_events(const http_response_head& response, const std::string& event_bytes);
    [[nodiscard]] bool may_retry(attempt_end end);
    [[nodiscard]] bool is_stream() const { return this->request.matched_route->retry == retry_policy::stream; }
    [[nodiscard]] steady_time response_time_limit() const;
    /// @returns the speed of the service's engines, for a route with a target for the pauses of streams
    [[nodiscard]] const engine_speed* engine() const;
    [[nodiscard]] bool is_signed(const http_response_head& response) const;
    /// Records what the endpoint states about itself.
    void record_statements(const http_response_head& response);
    attempt_end classify_exchange(exchange_state state, const char* phase);
    void finish(attempt_end end);
    void refuse(const failure& reason);
    void finish_without_permit(const failure& reason);
    void keep_connection();
    /// @returns true when a body that ends with its connection may be incomplete, because its endpoint no longer runs
    [[nodiscard]] bool has_endpoint_ended();

    const forwarding_parts& parts;
    const direct_request& request;
    const std::uint32_t more_important; ///< levels of importance above the request's
    response_sink& sink;
    caller_connection_monitor& caller;
    event_tracker events;
    forwarding_outcome outcome;
    std::unique_ptr<endpoint_permit> permit;
    std::unique_ptr<http_connection> connection;
    std::optional<full_response> endpoint_failure; ///< an endpoint's error response, forwarded when no retry follows
    steady_time last_event_at;
    std::chrono::milliseconds pause_left{0}; ///< until an endpoint may serve the request, if that is known
    std::string kept_back;                   ///< for the log: an endpoint's statement that kept the request from it
    std::uint32_t sends{0};                  ///< sends after which the request may have run
    std::uint32_t refusals{0};               ///< responses of endpoints that did not run the request
    bool is_connection_lost{false};          ///< the endpoint closed it during the last attempt
    bool has_response_begun{false};          ///< the last attempt has received the head of a response
    bool is_processed{false};                ///< that response is the result of the request, not a failure
    bool has_started_stream{false};          ///< the head of a stream was sent to the caller
};

/// Sends an error response that the entry itself creates.
/// @param jitter in [0, 1); spreads the callers' retries by varying Retry-After
/// @param earliest added to Retry-After; time after which a retry may succeed
void send_error_response(response_sink& sink, const failure& reason, double jitter,
                         std::chrono::milliseconds earliest = {});

} // namespace pomelohoist
