#pragma once

#include "direct/request_fingerprint.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Determines which requests crash endpoints, from the runs that each crash interrupted. Load: a few requests that
/// share a segment of their prompts, or that are repeated, among many harmless ones.
namespace pomelohoist {

/// A run that an endpoint's crash interrupted.
struct lost_run {
    request_fingerprint request;
    bool has_begun{false}; ///< the head of the response had arrived

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

struct endpoint_crash {
    std::uint64_t incarnation{0}; ///< digest of the endpoint's instance and start
    steady_time at;               ///< when this process observed it or received the report
    std::vector<lost_run> runs;

    friend bool operator==(const endpoint_crash&, const endpoint_crash&) = default;
};

/// Requests with a trait, and the responses to them.
struct trait_record {
    std::uint64_t requests{0};                  ///< requests that this process has received
    std::optional<steady_time> last_response{}; ///< at any process

    friend bool operator==(const trait_record&, const trait_record&) = default;
};

/// Period in which requests with a trait are not sent to endpoints.
struct quarantine {
    steady_time since;
    steady_time until;

    friend bool operator==(const quarantine&, const quarantine&) = default;
};

struct crash_history {
    std::vector<endpoint_crash> crashes;
    std::map<request_trait, trait_record> traits;
    std::map<request_trait, quarantine> quarantines; ///< including those that have expired

    friend bool operator==(const crash_history&, const crash_history&) = default;
};

/// @returns quarantines to begin at `now`; a trait that has had a response is quarantined after more crashes, and for a
/// shorter time
std::map<request_trait, quarantine> find_quarantines(const crash_history& history, steady_time now);

/// @returns true when one more crash would put the request into quarantine
bool is_suspect(const request_fingerprint& request, const crash_history& history);

} // namespace pomelohoist
