#pragma once

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <unordered_map>

/// Estimates the wait at one endpoint from its rates, running requests, queued work and cached prefixes.
namespace pomelohoist {

/// Rates of the endpoint, from the settings.
struct endpoint_rates {
    std::uint32_t slots{1};
    double prefill_tokens_per_ms{1.0};
    double token_ms{1.0};

    friend bool operator==(const endpoint_rates&, const endpoint_rates&) = default;
};

/// Size of a request.
struct request_size {
    std::uint64_t prefix_hash{0}; ///< 0: no prefix
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};

    friend bool operator==(const request_size&, const request_size&) = default;
};

struct load_estimate {
    std::chrono::milliseconds wait{0};        ///< time until the endpoint starts the request
    std::chrono::milliseconds first_token{0}; ///< wait, prefill of the tokens that are not cached, and one output token
    std::uint32_t cached_tokens{0};

    friend bool operator==(const load_estimate&, const load_estimate&) = default;
};

class load_model {
  public:
    load_model(const clock& time_source, const endpoint_rates& declared_rates);

    /// @returns expected run time at the endpoint
    [[nodiscard]] std::chrono::milliseconds work(const request_size& size) const;

    /// @param queued_work work that is queued before the request
    /// @param queued_requests number of requests that are queued, or may be queued, before the request
    [[nodiscard]] load_estimate estimate(const request_size& size, std::chrono::milliseconds queued_work,
                                         std::size_t queued_requests) const;

    void on_start(const ticket& id, const request_size& size);
    /// @param completed false when the run ended early, so that its duration is not used to correct the rates
    void on_end(const ticket& id, bool completed);

    [[nodiscard]] std::uint32_t running() const;

  private:
    struct active_run {
        request_size size;
        steady_time begin{};
        double nominal_ms{0.0};
    };

    struct cached_prefix {
        std::uint32_t tokens{0};
        std::list<std::uint64_t>::iterator position;
    };

    [[nodiscard]] std::uint32_t cached_tokens(const request_size& size) const;
    [[nodiscard]] double nominal_work(const request_size& size) const;
    [[nodiscard]] double remaining_ms(const active_run& run) const;
    void record_prefix(const request_size& size);

    const clock& time;
    endpoint_rates rates;
    mutable std::mutex mutex;
    std::map<ticket, active_run> runs;
    double slowdown{1.0}; ///< smoothed ratio of actual to nominal run time
    std::list<std::uint64_t> prefix_order;
    std::unordered_map<std::uint64_t, cached_prefix> prefixes;
};

} // namespace pomelohoist
