#pragma once

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

/// Limits the requests to endpoints that are cold: they have started shortly before, and too many requests crash them.
namespace pomelohoist {

/// The deployment's bound: `excess` times the endpoint's rate, and `slack` more, in any second.
struct cold_bound {
    double excess{0.0}; ///< 0: cold endpoints are not limited
    double slack{0.0};

    friend bool operator==(const cold_bound&, const cold_bound&) = default;
};

/// What a service declares about its cold endpoints.
struct cold_rate {
    std::chrono::milliseconds duration{0}; ///< for which an endpoint is cold after its start
    double per_s{0.0}; ///< requests that a cold endpoint tolerates, from all entries together; 0: any

    friend bool operator==(const cold_rate&, const cold_rate&) = default;
};

/// Each entry uses a fixed share of the rate, so that the bound holds without any exchange, also while entries cannot
/// reach each other. Thread-safe.
class cold_start_limit {
  public:
    cold_start_limit(const cold_bound& deployment_bound, const clock& time_source)
        : bound(deployment_bound), time(time_source) {}

    /// The first call for an endpoint begins its cold time.
    /// @param incarnation digest of the endpoint's instance and start
    /// @param stated_left remaining cold time that the endpoint has stated
    /// @param entries number of entries, whether they respond or not
    /// @returns false when the endpoint is cold and this entry's share allows no further request at the moment
    bool has_room(std::uint64_t incarnation, const cold_rate& declared, std::chrono::milliseconds stated_left,
                  std::uint32_t entries);
    /// Counts a request that this entry sends.
    void record_request(std::uint64_t incarnation);
    /// The next call of `has_room` for the endpoint counts as the first one; called while the endpoint gets no requests
    /// from any entry, after which it may be cold again.
    void forget(std::uint64_t incarnation);

  private:
    struct known_endpoint {
        steady_time cold_until;
        steady_time used_at;                     ///< time of the last call of `has_room`
        std::optional<steady_time> last_request; ///< of this entry
    };

    void drop_old(steady_time now);

    const cold_bound bound;
    const clock& time;
    std::mutex mutex;
    std::unordered_map<std::uint64_t, known_endpoint> endpoints;
};

/// @returns the shortest time between two requests of one entry to a cold endpoint
std::chrono::duration<double> cold_request_interval(double per_s, const cold_bound& bound, std::uint32_t entries);

} // namespace pomelohoist
