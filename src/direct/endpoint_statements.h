#pragma once

#include "common/log.h"
#include "direct/endpoint_list.h"
#include "placement/load_tracker.h"
#include "placement/rate_bucket.h"

#include <pomelohoist/clock.h>

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// What endpoints state about themselves in their responses: rate limits, that they leave, that they want a pause.
namespace pomelohoist {

/// One entry's report about a limited endpoint.
struct reported_limit {
    endpoint_digest endpoint{0};
    float limit_per_s{0.0F};
    bool has_ended{false};     ///< a later response stated no limit
    std::uint32_t age_ms{0};   ///< of the response that stated or lifted the limit
    std::uint32_t requests{0}; ///< number sent by the reporting entry; never decreases

    template <class Archive> void serialize(Archive& archive) {
        archive(this->endpoint, this->limit_per_s, this->has_ended, this->age_ms, this->requests);
    }
    friend bool operator==(const reported_limit&, const reported_limit&) = default;
};

/// One entry's report that an endpoint has stated to it that it leaves.
struct reported_leave {
    std::uint64_t incarnation{0}; ///< digest of the endpoint's instance and start
    std::uint32_t age_ms{0};      ///< of the latest response that stated it

    template <class Archive> void serialize(Archive& archive) { archive(this->incarnation, this->age_ms); }
    friend bool operator==(const reported_leave&, const reported_leave&) = default;
};

/// One entry's report that an endpoint has stated that it is cold.
struct reported_cold {
    std::uint64_t incarnation{0}; ///< digest of the endpoint's instance and start
    std::uint32_t left_ms{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->incarnation, this->left_ms); }
    friend bool operator==(const reported_cold&, const reported_cold&) = default;
};

/// Whether an endpoint wants requests from this entry.
struct endpoint_availability {
    bool is_leaving{false};
    std::chrono::milliseconds pause_left{0}; ///< remaining time of the pause that the endpoint has asked for
    std::chrono::milliseconds age{0};        ///< of the statement that keeps requests back
    std::string observer;                    ///< the entry to which it was made; empty for this one
    std::chrono::milliseconds cold_left{0};  ///< for which the endpoint remains cold

    friend bool operator==(const endpoint_availability&, const endpoint_availability&) = default;
};

/// Enforces each limit for all entries together: entries exchange the limits and the numbers of requests that they have
/// sent. Leaving and pauses are kept for the endpoint's incarnation. All entries obey a leave that one of them has
/// observed; a pause binds only the entry that the endpoint has asked for it, since it may still serve the others.
/// Thread-safe.
class endpoint_statements {
  public:
    endpoint_statements(const clock& time_source, structured_log& process_log) : time(time_source), log(process_log) {}

    /// Records the limit that a response states; a response without a limit lifts the endpoint's limit.
    /// @param limit_per_s value of the response's field, or nothing
    void record_response(const endpoint_record& endpoint, const std::optional<std::string>& limit_per_s);
    /// Records that the endpoint leaves. In force until `config::longest_leave` has passed since the last such
    /// response.
    /// @param value value of the response's field; only "1" states that the endpoint leaves
    void record_leaving(const endpoint_record& endpoint, const std::string& value);
    /// Records that the endpoint has refused a request and wants no more for some time.
    /// @param seconds value of the response's field; no more than `config::longest_pause` is observed
    void record_pause(const endpoint_record& endpoint, const std::string& seconds);
    /// Records how long the endpoint remains cold.
    /// @param left_ms value of the response's field
    void record_cold(const endpoint_record& endpoint, const std::string& left_ms);
    void record_cold(const endpoint_record& endpoint, std::chrono::milliseconds left);
    [[nodiscard]] endpoint_availability availability_of(const endpoint_record& endpoint) const;

    /// Counts a request that this entry sends.
    void record_request(endpoint_digest endpoint);
    /// @returns false when the endpoint has received as many requests as its limit allows
    [[nodiscard]] bool has_room(endpoint_digest endpoint) const;

    /// @param max_age omits endpoints to which this entry has sent no request, and that sent no response, for longer
    [[nodiscard]] std::vector<reported_limit> report(std::chrono::milliseconds max_age) const;
    void merge(const std::string& peer, const std::vector<reported_limit>& reported);

    /// @param max_age omits leaves that were stated to this entry longer ago
    [[nodiscard]] std::vector<reported_leave> report_leaves(std::chrono::milliseconds max_age) const;
    void merge_leaves(const std::string& peer, const std::vector<reported_leave>& reported);

    /// @returns the cold endpoints that this process has read itself, in the store or in a response; nothing if none
    [[nodiscard]] std::optional<std::vector<reported_cold>> report_cold() const;
    void merge_cold(const std::optional<std::vector<reported_cold>>& reported);
    /// @returns number of endpoints that are known to be cold
    [[nodiscard]] std::size_t count_cold() const;

    using incarnation = std::uint64_t; ///< digest of the endpoint's instance and start
    static incarnation incarnation_of(const endpoint_record& endpoint);

  private:
    struct limited_endpoint {
        double limit_per_s{0.0};
        bool has_ended{false};
        steady_time stated_at;  ///< time of the latest response that stated or lifted the limit
        steady_time changed_at; ///< time of this entry's latest request or response
        rate_bucket bucket;
        std::uint32_t own_requests{0};
        std::map<std::string, std::uint32_t> peer_requests;
    };

    struct stated_times {
        steady_time leaving_until{};
        steady_time leaving_since{};  ///< time of the latest response that stated it
        std::string leaving_observer; ///< the other entry that received that response
        steady_time paused_until{};
        steady_time paused_since{};
        steady_time cold_until{};
        bool is_cold_reported{false}; ///< the time comes from another process
    };

    limited_endpoint& endpoint_of(endpoint_digest endpoint, double limit_per_s, steady_time now);
    void drop_old(steady_time now);

    const clock& time;
    structured_log& log;
    mutable std::mutex mutex;
    std::map<endpoint_digest, limited_endpoint> endpoints;
    std::map<incarnation, stated_times> availabilities;
};

} // namespace pomelohoist
