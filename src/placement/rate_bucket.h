#pragma once

#include <pomelohoist/clock.h>

/// Token bucket for the requests of all entries to one endpoint. Load: many entries, each of which sends an endpoint
/// far fewer requests than its limit, so that a fixed share for each entry would mostly remain unused.
namespace pomelohoist {

class rate_bucket {
  public:
    /// @param limit_per_s requests per second; at least `config::least_probe_rate` is admitted, since only the response
    /// to a request can lift the limit
    rate_bucket(double limit_per_s, steady_time now);

    void set_limit(double limit_per_s, steady_time now);
    /// Counts requests; their number may exceed the available tokens, since other entries send requests concurrently.
    void take(double requests, steady_time now);
    [[nodiscard]] bool has_room(steady_time now) const;

  private:
    [[nodiscard]] double tokens_at(steady_time now) const;

    double rate_per_s;
    double tokens{1.0};
    steady_time refilled_at;
};

} // namespace pomelohoist
