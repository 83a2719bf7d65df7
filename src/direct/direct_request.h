#pragma once

#include "direct/caller_watchpoint.h"
#include "direct/endpoint_connection.h"
#include "direct/header_names.h"
#include "direct/routing_state.h"
#include "direct/routing_table.h"
#include "entry/entry_request.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

/// A caller's request on its way to an endpoint.
namespace pomelohoist {

/// A request that a route and a workspace were found for.
struct direct_request {
    const raw_request& raw;
    std::shared_ptr<const routing_table> routing; ///< the version that decided; keeps `way` alive
    const route* way{nullptr};
    std::string request_id;
    std::string workspace; ///< empty on public routes
    std::string service;
    std::uint32_t importance{0};
    steady_time arrived;
    steady_time deadline; ///< the earlier of the caller's and the route's
};

/// Finds route, workspace and service of a request.
class request_resolver {
  public:
    request_resolver(const header_names& field_names, const routing_state& in_force)
        : names(field_names), shared(in_force) {}

    /// @param ticket random bits, which choose among the services of a route by their weights
    /// @returns the request, or `not_ready`, `not_found`, `unauthorized`, `bad_request`
    [[nodiscard]] result<direct_request> resolve(const raw_request& raw, steady_time arrived,
                                                 std::uint64_t ticket) const;

  private:
    const header_names& names;
    const routing_state& shared;
};

/// @returns request line, fields and body as they are sent to an endpoint
/// @param resume_after id of the last event that the caller has, or empty
std::string encode_for_endpoint(const direct_request& request, const header_names& names, const std::string& instance,
                                std::chrono::milliseconds time_left, const std::string& resume_after);

/// @returns true for fields that describe one connection only
bool is_connection_field(const std::string& name);

} // namespace pomelohoist
