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

/// Queueing model of endpoints, for the comparison of routing policies over a request trace.
namespace pomelohoist {

struct endpoint_model_options {
    std::uint32_t endpoints{16};
    std::uint32_t slots{8}; ///< requests that one endpoint runs at a time
    double prefill_tokens_per_ms{4.0};
    double token_ms{20.0};             ///< time between two tokens of a response
    std::uint32_t cached_prefixes{24}; ///< capacity of an endpoint's prefix cache, in prefixes
    double prefix_share{0.75};         ///< share of the prompt that a cached prefix saves
    double report_lag_ms{2000.0};      ///< age of the load reports that policies see
    double reserve_ms{1.0};            ///< round trip of a reserve request
    double straggler_speed{0.4};       ///< speed of endpoint 0, the others have 1

    friend bool operator==(const endpoint_model_options&, const endpoint_model_options&) = default;
};

/// One endpoint with its queue. Requests run in the order of their arrival.
class endpoint_model {
  public:
    endpoint_model(const endpoint_model_options& model_options, double relative_speed);

    /// @returns number of requests that were running or queued at that time
    /// @attention `time_ms` must not be earlier than the time of the last call of `run` minus the report lag
    [[nodiscard]] std::uint32_t load_at(double time_ms) const;
    [[nodiscard]] std::uint32_t cached_tokens(const request_record& request) const;
    /// @returns expected time to the first token, in ms. An agent does not know the length of a response in advance,
    /// so the wait is estimated from the mean service time of completed requests.
    [[nodiscard]] double expected_first_token(const request_record& request, double now_ms) const;
    /// Runs a request that arrives at `now_ms`.
    /// @returns time from the arrival to the first token, in ms
    double run(const request_record& request, double now_ms);

  private:
    struct run_record {
        double arrival{0.0};
        double end{0.0};
        double service{0.0};    ///< time for which the request occupies a slot
        bool is_counted{false}; ///< is included in the mean service time
    };

    [[nodiscard]] double prefill_time(const request_record& request) const;
    void count_finished(double now_ms);

    endpoint_model_options options;
    double speed;
    double mean_service{0.0};
    std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
    std::deque<run_record> run_records;
    std::unique_ptr<Poco::LRUCache<std::string, std::uint32_t>> cache;
};

/// A routing policy, with the number of endpoints from which it requests offers.
struct routed_policy {
    std::string name;
    candidate_policy* policy{nullptr};
    std::size_t candidates{1}; ///< 1: the request is sent without requesting an offer
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
/// @param load offered load as a share of the endpoints' capacity, computed without cache hits; arrival times are
/// scaled to reach it
request_summary run_requests(const std::vector<request_record>& requests, const routed_policy& routed,
                             const offer_ranking& ranking, const endpoint_model_options& options, double load);

/// @returns a table with one line for each summary
std::string render_request_table(const std::vector<request_summary>& summaries);

} // namespace pomelohoist
