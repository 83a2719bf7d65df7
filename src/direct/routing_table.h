#pragma once

#include "placement/engine_speed.h"

#include <pomelohoist/error.h>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' declaration for direct forwarding: routes, services, workspaces. Each version is immutable.
namespace pomelohoist {

/// Which requests of a route may be retried.
enum class retry_policy : std::uint8_t {
    safe,   ///< may run more than once
    unsafe, ///< runs at most once for each attempt of the caller
    stream, ///< a stream of events; may be resumed only when the route allows it
    count
};

/// A service that receives a share of a route's requests.
struct route_target {
    std::string service;
    std::uint32_t weight{1};

    template <class Archive> void serialize(Archive& archive) { archive(this->service, this->weight); }
    friend bool operator==(const route_target&, const route_target&) = default;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    retry_policy retry{retry_policy::unsafe};
    std::vector<route_target> targets;
    std::uint32_t timeout_ms{0};        ///< longest time until the response is complete
    std::uint32_t latency_target_ms{0}; ///< target time to the response, or to the first event of a stream
    std::uint32_t gap_target_ms{0};     ///< target for the longest pause between events
    std::uint32_t importance{0};        ///< 0 is the most important
    std::uint32_t max_endpoints{1};     ///< number of endpoints that may run one attempt of a caller
    bool is_public{false};              ///< requests need no key
    bool can_resume{false};             ///< an interrupted stream may be resumed at another endpoint

    /// @returns true when a request may be retried after it may have run
    [[nodiscard]] bool is_idempotent() const {
        return this->retry == retry_policy::safe || (this->retry == retry_policy::stream && this->can_resume);
    }
    template <class Archive> void serialize(Archive& archive) {
        archive(this->name, this->host, this->prefix, this->retry, this->targets, this->timeout_ms,
                this->latency_target_ms, this->gap_target_ms, this->importance, this->max_endpoints, this->is_public,
                this->can_resume);
    }
    friend bool operator==(const route&, const route&) = default;
};

/// Dimensions of the expert maps of a service whose endpoints are ranks of groups.
struct expert_layout {
    std::uint32_t layers{0};
    std::uint32_t experts{0};
    std::uint32_t slots_per_rank{0}; ///< in each layer
    std::uint32_t max_new{0};        ///< experts of a layer that one map may add to a rank
    std::uint32_t copy_us{0};        ///< time in which a rank copies one expert, in microseconds

    template <class Archive> void serialize(Archive& archive) {
        archive(this->layers, this->experts, this->slots_per_rank, this->max_new, this->copy_us);
    }
    friend bool operator==(const expert_layout&, const expert_layout&) = default;
};

struct service {
    std::string name;
    std::uint32_t max_connections{0}; ///< of one endpoint, from all callers together
    std::optional<expert_layout> experts;
    std::optional<engine_speed> engine{}; ///< of one endpoint
    std::uint32_t cold_ms{0};             ///< for which an endpoint is cold after its start
    double cold_per_s{0.0}; ///< requests that a cold endpoint tolerates, from all entries together; 0: any number

    template <class Archive> void serialize(Archive& archive) {
        archive(this->name, this->max_connections, this->experts, this->engine, this->cold_ms, this->cold_per_s);
    }
    friend bool operator==(const service&, const service&) = default;
};

struct workspace_keys {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> importance; ///< overrides the route's importance

    template <class Archive> void serialize(Archive& archive) { archive(this->name, this->keys, this->importance); }
    friend bool operator==(const workspace_keys&, const workspace_keys&) = default;
};

/// Limits of callers' requests and connections, as far as they are declared.
struct caller_limits {
    std::optional<std::uint64_t> body_bytes;
    std::optional<std::uint32_t> idle_timeout_ms;

    template <class Archive> void serialize(Archive& archive) { archive(this->body_bytes, this->idle_timeout_ms); }
    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

struct routing_content {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::vector<service> services;
    /// Without a list, requests need no key; with an empty one, no key is valid.
    std::optional<std::vector<workspace_keys>> workspaces;
    caller_limits limits;

    template <class Archive> void serialize(Archive& archive) {
        archive(this->version, this->routes, this->services, this->workspaces, this->limits);
    }
    friend bool operator==(const routing_content&, const routing_content&) = default;
};

/// Looks up routes and keys in one version. Immutable.
class routing_table {
  public:
    explicit routing_table(routing_content declared);

    [[nodiscard]] std::uint64_t version() const { return this->content.version; }
    [[nodiscard]] const routing_content& declared() const { return this->content; }
    /// @param path of the request, without the query
    /// @returns the route of the host with the longest prefix of the path, or null
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// @returns the workspace that holds the key, or null
    [[nodiscard]] const workspace_keys* find_workspace(std::string_view key) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    /// @returns true when requests need a key unless their route is public; the list of workspaces may be empty
    [[nodiscard]] bool has_workspaces() const { return this->content.workspaces.has_value(); }

  private:
    struct key_owner {
        std::string_view key;
        std::uint32_t workspace{0};
    };

    routing_content content;
    std::vector<std::uint32_t> routes_by_prefix; ///< indexes of routes, ascending by host, then prefix
    std::vector<key_owner> owners;               ///< ascending by key
};

} // namespace pomelohoist
