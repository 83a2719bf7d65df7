#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

/// State of the stand-in for the platform's services.
namespace pomelohoist::standin {

/// Fault switches as set by `PUT /standin/faults`.
struct fault_switches {
    std::string down;           ///< empty: up; "close": accepts and closes connections; "503": responds with status 503
    std::uint32_t slow_ms{0};   ///< added delay of each call
    double lose_share{0.0};     ///< share of writes whose response is lost
    std::uint32_t lose_next{0}; ///< number of next writes whose response is lost

    friend bool operator==(const fault_switches&, const fault_switches&) = default;
};

struct stored_row {
    std::string value;
    std::uint64_t mod_revision{0};

    friend bool operator==(const stored_row&, const stored_row&) = default;
};

struct access_count {
    std::uint64_t reads{0};
    std::uint64_t writes{0};

    friend bool operator==(const access_count&, const access_count&) = default;
};

/// Rows, objects, host list and the rate limit of the weight store. Thread-safe.
class platform_state {
  public:
    platform_state(double weight_requests_per_second, std::chrono::milliseconds host_list_lag, std::uint64_t seed);

    /// Serves `POST /v3/kv/range`. Throws on a malformed request.
    nlohmann::json range(const nlohmann::json& request);
    /// Serves `POST /v3/kv/txn`. Throws on a malformed request.
    nlohmann::json txn(const nlohmann::json& request);

    std::optional<std::string> get_object(const std::string& name);
    void put_object(const std::string& name, std::string content);

    /// @returns the host list as it was `host_lag_ms` ago
    nlohmann::json visible_hosts();
    /// @param host_list JSON with `live`, `leaving` and optionally `version`
    void set_hosts(const nlohmann::json& host_list);

    /// Requests a load of weights.
    /// @returns true when the request is accepted, false when it exceeds the rate limit
    bool request_weights();

    [[nodiscard]] fault_switches faults();
    /// Sets the switches that are present in `update` and leaves the others unchanged.
    void set_faults(const nlohmann::json& update);
    /// Decides for one write whether its response is lost.
    bool loses_response();
    [[nodiscard]] nlohmann::json counts();

  private:
    struct dated_hosts {
        std::chrono::steady_clock::time_point visible_from;
        nlohmann::json content;
    };

    nlohmann::json apply(const nlohmann::json& operation);
    bool holds(const nlohmann::json& comparison);
    nlohmann::json header() const;

    std::mutex mutex;
    std::map<std::string, stored_row> rows;
    std::map<std::string, std::string> objects;
    std::map<std::string, access_count> accesses;
    std::deque<dated_hosts> hosts;
    fault_switches switches;
    std::uint64_t revision{1};
    double weight_rate;
    double weight_tokens;
    std::chrono::steady_clock::time_point weight_refill;
    std::chrono::milliseconds lag;
    std::mt19937_64 engine;
};

} // namespace pomelohoist::standin
