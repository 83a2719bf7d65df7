#pragma once

#include "direct/caller_connection_monitor.h"
#include "direct/header_names.h"
#include "direct/request_fingerprint.h"
#include "direct/routing_state.h"
#include "direct/routing_table.h"
#include "entry/entry_request.h"
#include "http/http_connection.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Resolves callers' requests and encodes them for endpoints.
namespace pomelohoist {

/// A caller's request with its matched route and workspace.
struct direct_request {
    const raw_request& raw;
    std::shared_ptr<const routing_table> routing; ///< the version used; keeps `matched_route` alive
    const route* matched_route{nullptr};
    std::string request_id;
    std::optional<std::string> workspace; ///< of the caller's key; none where no key is needed
    std::string service;
    std::uint32_t importance{0};
    std::vector<std::string> shared_segments; ///< ids of the prompt's segments that other requests may have too
    request_fingerprint fingerprint;
    steady_time arrived;
    steady_time deadline;           ///< the earlier of the caller's deadline and the route's
    std::uint32_t prompt_tokens{0}; ///< 0 when the caller does not state it
};

/// Finds the route, workspace and service of a request.
class request_resolver {
  public:
    request_resolver(const header_names& field_names, const routing_state& current_state)
        : names(field_names), state(current_state) {}

    /// @param ticket random bits that select one of the route's services by weight
    /// @returns the request, or `not_ready`, `not_found`, `unauthorized`, `bad_request`
    [[nodiscard]] result<direct_request> resolve(const raw_request& raw, steady_time arrived,
                                                 std::uint64_t ticket) const;

  private:
    const header_names& names;
    const routing_state& state;
};

/// @param prompt_segments comma-separated ID:TOKENS
/// @returns the ids of all segments but the last, which belongs to one request only
std::vector<std::string> parse_shared_segments(const std::string& prompt_segments);

/// @param token_counts prompt tokens, comma, largest number of output tokens
/// @returns the prompt tokens, or 0 when the text is malformed
std::uint32_t parse_prompt_tokens(std::string_view token_counts);

/// @param resume_after id of the last event that the caller has received, or empty
/// @returns request line, header fields and body as sent to an endpoint, or `internal` when a field that the entry
/// sets, such as the workspace, cannot be written
result<std::string> encode_for_endpoint(const direct_request& request, const header_names& names,
                                        const std::string& instance, std::chrono::milliseconds time_left,
                                        const std::string& resume_after);

} // namespace pomelohoist
