#pragma once

#include "replay/request_trace.h"

#include <pomelohoist/routing.h>

#include <Poco/LRUCache.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// A small model of endpoints, for the comparison of routing policies over a request trace.
namespace pomelohoist {

struct endpoint_model_options {
    std::uint32_t endpoints{16};
    std::uint32_t slots{8}; ///< requests that one endpoint runs at a time
    double prefill_tokens_per_ms{4.0};
    double token_ms{20.0};             ///< time between two tokens of an answer
    std::uint32_t cached_prefixes{24}; ///< size of an endpoint's prefix cache
    double prefix_share{0.75};         ///< share of the prompt that a cached prefix saves
    double report_lag_ms{2000.0};      ///< age of the load reports that policies see
    double reserve_ms{1.0};            ///< round trip of asking for offers
    double straggler_speed{0.4};       ///< speed of endpoint 0, the others have 1

    friend bool operator==(const endpoint_model_options&, const endpoint_model_options&) = default;
};

/// One endpoint with its queue. Requests run in the order of their arrival.
class endpoint_model {
  public:
    endpoint_model(const endpoint_model_options& chosen, double relative_speed);

    /// @returns requests that were here at that time, running or queued
    /// @attention `time_ms` must not be more than the report lag before the last call
    [[nodiscard]] std::uint32_t load_at(double time_ms) const;
    [[nodiscard]] std::uint32_t cached_tokens(const request_record& request) const;
    /// @returns expected time to the first token. The length of answers is not known to an agent, so the wait follows
    /// from the mean service time that it has measured.
    [[nodiscard]] double expected_first_token(const request_record& request, double now_ms) const;
    /// @returns time until the first token
    double run(const request_record& request, double now_ms);

  private:
    struct visit {
        double begin{0.0};
        double end{0.0};
        double service{0.0};    ///< time in a slot
        bool is_counted{false}; ///< is part of the mean service time
    };

    [[nodiscard]] double prefill_time(const request_record& request) const;
    void count_finished(double now_ms);

    endpoint_model_options options;
    double speed;
    double mean_service{0.0};
    std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
    std::deque<visit> visits;
    std::unique_ptr<Poco::LRUCache<std::string, std::uint32_t>> cache;
};

/// A policy with the number of endpoints that it asks for offers.
struct routed_policy {
    std::string name;
    candidate_policy* policy{nullptr};
    std::size_t asked{1}; ///< 1 sends the request without asking
};

struct request_summary {
    std::string policy;
    double load{0.0};
    std::size_t requests{0};
    double p50_first_token_ms{0.0};
    double p95_first_token_ms{0.0};
    double cache_hit_share{0.0};
    double mean_queue_ms{0.0};

    friend bool operator==(const request_summary&, const request_summary&) = default;
};

/// Runs one policy over the requests.
/// @param load share of the endpoints' capacity without cache hits; arrival times are stretched to it
request_summary run_requests(const std::vector<request_record>& requests, const routed_policy& routed,
                             const offer_ranking& ranking, const endpoint_model_options& options, double load);

/// @returns a table with one line for each summary
std::string render_request_table(const std::vector<request_summary>& summaries);

} // namespace pomelohoist
