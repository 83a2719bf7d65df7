#pragma once

#include <pomelohoist/clock.h>

#include <cereal/types/vector.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Counts requests in progress at each endpoint, from this entry and from the other entries.
namespace pomelohoist {

/// Short identifier of an endpoint in messages between entries.
using endpoint_digest = std::uint32_t;

/// @returns the digest of an endpoint's instance name
endpoint_digest digest_of_instance(std::string_view instance);

/// Requests that one entry has in progress at one endpoint.
struct endpoint_load {
    endpoint_digest endpoint{0};
    std::uint16_t active{0};

    template <class Archive> void serialize(Archive& archive) { archive(this->endpoint, this->active); }
    friend bool operator==(const endpoint_load&, const endpoint_load&) = default;
};

/// Sums the loads that the entries send each other, so that each entry places requests by the load of the whole
/// deployment and not only by the small share that the entry itself has placed. Thread-safe.
class load_tracker {
  public:
    explicit load_tracker(const clock& time_source) : time(time_source) {}

    /// Replaces the load that another entry last reported.
    void set_peer_load(const std::string& peer, const std::vector<endpoint_load>& loads);
    [[nodiscard]] std::vector<endpoint_load> own_loads() const;
    /// @returns requests in progress at the endpoint, from all entries
    [[nodiscard]] std::uint32_t total(endpoint_digest endpoint) const;
    /// @returns number of entries with a current load, including this entry
    [[nodiscard]] std::uint32_t entries() const;

    void begin(endpoint_digest endpoint);
    void end(endpoint_digest endpoint);

  private:
    struct peer_load {
        steady_time last_seen_at;
        std::vector<endpoint_load> loads;
    };

    /// Removes loads from `peer_sums`.
    void subtract(const std::vector<endpoint_load>& loads) const;
    /// Removes the loads of entries that have stopped or become unreachable, so that they do not use up capacity.
    void remove_expired() const;

    const clock& time;
    mutable std::mutex mutex;
    std::unordered_map<endpoint_digest, std::uint16_t> own;
    // Sums are kept instead of calculated: each attempt to place a request asks for the load of every endpoint.
    mutable std::unordered_map<std::string, peer_load> peers;
    mutable std::unordered_map<endpoint_digest, std::uint32_t> peer_sums;
    mutable steady_time next_expiry{steady_time::max()}; ///< no peer's load expires before
};

} // namespace pomelohoist
