#include "replay/request_run.h"

#include "common/digest.h"
#include "replay/policy_run.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace pomelohoist {

namespace {

// Weight of a new sample in the moving average of the service time.
constexpr double service_gain = 0.1;

std::vector<endpoint_model> make_endpoints(const endpoint_model_options& options) {
    std::vector<endpoint_model> endpoints;
    endpoints.reserve(options.endpoints);
    for (std::uint32_t i = 0; i < options.endpoints; ++i) {
        endpoints.emplace_back(options, i == 0 ? options.straggler_speed : 1.0);
    }
    return endpoints;
}

/// @returns the factor by which the arrival times are multiplied so that the requests use the share `load` of the
/// capacity
double stretch_to_load(const std::vector<request_record>& requests, const endpoint_model_options& options,
                       double load) {
    double work = 0.0;
    for (const request_record& request : requests) {
        work += request.prompt_tokens / options.prefill_tokens_per_ms + request.output_tokens * options.token_ms;
    }
    const double capacity = options.slots * (options.endpoints - 1.0 + options.straggler_speed);
    const double duration = requests.back().at_ms - requests.front().at_ms;
    return duration > 0.0 ? work / (capacity * load * duration) : 1.0;
}

std::uint32_t choose_endpoint(const request_record& request, double now, const routed_policy& routed,
                              const offer_ranking& ranking, const endpoint_model_options& options,
                              const std::vector<endpoint_model>& endpoints) {
    std::vector<routing_candidate> reachable;
    reachable.reserve(endpoints.size());
    for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
        reachable.push_back({endpoint_handle{i}, hash64("endpoint-" + std::to_string(i)),
                             endpoints[i].load_at(now - options.report_lag_ms), false});
    }
    const std::uint64_t prefix = request.prefix.empty() ? 0 : hash64(request.prefix);
    const std::vector<endpoint_handle> picked = routed.policy->pick({prefix, routed.candidates}, reachable);
    if (routed.candidates == 1) {
        return picked.front().index;
    }
    std::vector<routing_offer> offers;
    offers.reserve(picked.size());
    for (const endpoint_handle handle : picked) {
        const endpoint_model& endpoint = endpoints[handle.index];
        offers.push_back({handle, static_cast<std::uint32_t>(std::round(endpoint.expected_first_token(request, now))),
                          endpoint.cached_tokens(request), endpoint.load_at(now)});
    }
    return offers[ranking.rank(offers).front()].handle.index;
}

} // namespace

endpoint_model::endpoint_model(const endpoint_model_options& model_options, double relative_speed)
    : options(model_options), speed(relative_speed),
      cache(std::make_unique<Poco::LRUCache<std::string, std::uint32_t>>(model_options.cached_prefixes)) {
    for (std::uint32_t slot = 0; slot < model_options.slots; ++slot) {
        this->free_at.push(0.0);
    }
}

std::uint32_t endpoint_model::load_at(double time_ms) const {
    return static_cast<std::uint32_t>(
        std::count_if(this->run_records.begin(), this->run_records.end(),
                      [time_ms](const run_record& each) { return each.arrival <= time_ms && each.end > time_ms; }));
}

std::uint32_t endpoint_model::cached_tokens(const request_record& request) const {
    if (request.prefix.empty() || !this->cache->has(request.prefix)) {
        return 0;
    }
    return static_cast<std::uint32_t>(request.prompt_tokens * this->options.prefix_share);
}

double endpoint_model::prefill_time(const request_record& request) const {
    return (request.prompt_tokens - this->cached_tokens(request)) / (this->options.prefill_tokens_per_ms * this->speed);
}

double endpoint_model::expected_first_token(const request_record& request, double now_ms) const {
    const double waiting = std::max(0.0, this->load_at(now_ms) + 1.0 - this->options.slots);
    return waiting * this->mean_service / this->options.slots + this->prefill_time(request);
}

void endpoint_model::count_finished(double now_ms) {
    // The service time of a request is known only after the request has ended.
    for (run_record& each : this->run_records) {
        if (!each.is_counted && each.end <= now_ms) {
            each.is_counted = true;
            const double gain = this->mean_service > 0.0 ? service_gain : 1.0;
            this->mean_service += gain * (each.service - this->mean_service);
        }
    }
}

double endpoint_model::run(const request_record& request, double now_ms) {
    const double prefill = this->prefill_time(request);
    const double service = prefill + request.output_tokens * this->options.token_ms / this->speed;
    const double begin = std::max(now_ms, this->free_at.top());
    this->free_at.pop();
    this->free_at.push(begin + service);
    this->count_finished(now_ms);
    std::erase_if(this->run_records,
                  [this, now_ms](const run_record& each) { return each.end < now_ms - this->options.report_lag_ms; });
    this->run_records.push_back({now_ms, begin + service, service, false});
    if (!request.prefix.empty()) {
        this->cache->update(request.prefix, request.prompt_tokens);
    }
    return begin + prefill - now_ms;
}

request_summary run_requests(const std::vector<request_record>& requests, const routed_policy& routed,
                             const offer_ranking& ranking, const endpoint_model_options& options, double load) {
    request_summary summary{routed.name, load, requests.size(), 0.0, 0.0, 0.0, 0.0};
    if (requests.empty()) {
        return summary;
    }
    std::vector<endpoint_model> endpoints = make_endpoints(options);
    const double stretch = stretch_to_load(requests, options, load);
    const double reserve_time = routed.candidates > 1 ? options.reserve_ms : 0.0;
    std::vector<double> first_tokens;
    first_tokens.reserve(requests.size());
    for (const request_record& request : requests) {
        const double now = (request.at_ms - requests.front().at_ms) * stretch;
        endpoint_model& endpoint = endpoints[choose_endpoint(request, now, routed, ranking, options, endpoints)];
        const std::uint32_t cached = endpoint.cached_tokens(request);
        const double speed = &endpoint == &endpoints.front() ? options.straggler_speed : 1.0;
        const double first_token = endpoint.run(request, now);
        const double prefill = (request.prompt_tokens - cached) / (options.prefill_tokens_per_ms * speed);
        const auto count = static_cast<double>(requests.size());
        summary.cache_hit_share += (cached > 0 ? 1.0 : 0.0) / count;
        summary.mean_queue_ms += (first_token - prefill) / count;
        first_tokens.push_back(first_token + reserve_time);
    }
    summary.p50_first_token_ms = quantile(first_tokens, 0.5);
    summary.p95_first_token_ms = quantile(std::move(first_tokens), 0.95);
    return summary;
}

std::string render_request_table(const std::vector<request_summary>& summaries) {
    std::string text = fmt::format("{:<14}{:>6}{:>10}{:>22}{:>22}{:>12}{:>16}\n", "policy", "load", "requests",
                                   "p50 first token ms", "p95 first token ms", "cache hits", "mean queue ms");
    for (const request_summary& row : summaries) {
        text += fmt::format("{:<14}{:>6.2f}{:>10}{:>22.0f}{:>22.0f}{:>12.3f}{:>16.0f}\n", row.policy, row.load,
                            row.requests, row.p50_first_token_ms, row.p95_first_token_ms, row.cache_hit_share,
                            row.mean_queue_ms);
    }
    return text;
}

} // namespace pomelohoist
