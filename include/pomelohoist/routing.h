#pragma once

#include <pomelohoist/config.h>
#include <pomelohoist/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

/// Selection of the endpoints that are queried for a ticket, and of the offer that is accepted. Uses no sockets, so
/// that a replay can use it.
namespace pomelohoist {

class random_source;

/// An endpoint that may serve the request.
struct routing_candidate {
    endpoint_handle handle;
    std::uint64_t name_hash{0};     ///< hash of the endpoint's name, equal at all entries
    std::uint32_t reported_load{0}; ///< requests at the endpoint according to its last load report, which lags
    bool in_cooldown{false};        ///< recently failed, or refused a request because it was draining

    friend bool operator==(const routing_candidate&, const routing_candidate&) = default;
};

/// Properties of a request that a policy uses.
struct routing_query {
    std::uint64_t prefix_hash{0};                  ///< hash of the beginning of the prompt, 0 when there is none
    std::size_t limit{config::reserve_candidates}; ///< highest number of endpoints to pick

    friend bool operator==(const routing_query&, const routing_query&) = default;
};

/// Selects the endpoints that are queried for a ticket.
/// @attention implementations are safe for several threads
class candidate_policy {
  public:
    virtual ~candidate_policy() = default;
    /// @param reachable all endpoints that may serve the request
    /// @returns at most `query.limit` different endpoints; endpoints in cooldown only when no other is reachable
    virtual std::vector<endpoint_handle> pick(const routing_query& query,
                                              const std::vector<routing_candidate>& reachable) = 0;
};

/// Properties of an offer that the ranking uses.
struct routing_offer {
    endpoint_handle handle;
    std::uint32_t expected_first_token_ms{0};
    std::uint32_t cached_prefix_tokens{0};
    std::uint32_t active_requests{0};

    friend bool operator==(const routing_offer&, const routing_offer&) = default;
};

/// Sorts offers.
class offer_ranking {
  public:
    virtual ~offer_ranking() = default;
    /// @returns indices into `offers`, best first
    [[nodiscard]] virtual std::vector<std::size_t> rank(const std::vector<routing_offer>& offers) const = 0;
};

enum class routing_policy : std::uint8_t { affinity, random, round_robin, least_loaded, two_choices, count };

/// @returns the policy with that name, or nothing
std::optional<routing_policy> parse_routing_policy(std::string_view name);
/// @param random must outlive the policy
std::unique_ptr<candidate_policy> make_candidate_policy(routing_policy kind, random_source& random);
/// @returns the ranking by expected time to the first token, then cached prefix (longer first), then active requests
std::unique_ptr<offer_ranking> make_offer_ranking();

} // namespace pomelohoist
