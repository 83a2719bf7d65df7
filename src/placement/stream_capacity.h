#pragma once

#include "placement/engine_speed.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// How many streams the endpoints of a service carry without pauses that are too long. Load: more streams than the
/// groups of a service can serve in time, so that all of them pause too long together while none is refused.
namespace pomelohoist {

/// A pass that a stream has waited for, and the load meanwhile.
struct observed_pass {
    std::chrono::milliseconds duration{0};
    double load{0.0}; ///< mean number of streams at an endpoint of the service

    friend bool operator==(const observed_pass&, const observed_pass&) = default;
};

/// @param longest_pause target for the longest pause of a stream
/// @returns mean number of streams at an endpoint with which the pass would have taken `longest_pause`; the part of a
/// pass that does not depend on the streams is known from the engine's speed
double streams_within(const engine_speed& engine, const observed_pass& pass, std::chrono::milliseconds longest_pause);

/// Limits the streams of each service to the number with which the slowest passes of the last seconds would have
/// met the target. Passes are slowest for some tenths of a second after the demand for experts has changed, until a new
/// map is in force; the limit keeps room for that. Each entry measures for itself. Thread-safe.
class stream_capacity {
  public:
    explicit stream_capacity(const clock& time_source) : time(time_source) {}

    /// Records the mean number of streams at an endpoint of the service, as this entry knows it.
    void record_load(const std::string& service, double streams);
    /// Records the time between two events of a stream.
    void record_pause(const std::string& service, const engine_speed& engine, std::chrono::milliseconds pause,
                      std::chrono::milliseconds longest_pause);
    /// @returns mean number of streams that an endpoint of the service may have; infinite when not limited
    [[nodiscard]] double limit_of(const std::string& service) const;

  private:
    /// Estimates of one period, ascending; only the smallest are kept.
    struct period {
        steady_time begin;
        std::vector<double> smallest;
    };
    struct measured_service {
        double load{0.0};
        std::deque<period> periods;
    };

    const clock& time;
    mutable std::mutex mutex;
    std::map<std::string, measured_service> services;
};

/// Streams at an endpoint, on average, up to which a request is admitted, so that room is left for more important ones.
/// Load: requests of different importance that together exceed the limit, at many entries, none of which knows what
/// waits at the others.
/// @param limit mean number of streams that an endpoint may have
/// @param slots mean number of requests that an endpoint processes at once
/// @param more_important number of levels of importance above the request's that were asked for in the last seconds
/// @returns infinity for the most important requests: refusing these would help no one who matters more
double room_for(double limit, double slots, std::uint32_t more_important);

/// The levels of importance that are asked for at one service. Thread-safe.
class importance_levels {
  public:
    explicit importance_levels(const clock& time_source) : time(time_source) {}

    /// Records a request, and counts the levels that are more important and had a share of the recent requests of at
    /// least `config::least_level_share`: a few requests, such as checks of a route, do not need room.
    std::uint32_t record(const std::string& service, std::uint32_t importance);

  private:
    using request_counts = std::map<std::uint32_t, std::uint64_t>; ///< by importance
    struct recent_requests {
        steady_time begin; ///< of `current`
        request_counts current;
        request_counts previous; ///< of the period before
    };

    const clock& time;
    std::mutex mutex;
    std::map<std::string, recent_requests> services;
};

} // namespace pomelohoist
