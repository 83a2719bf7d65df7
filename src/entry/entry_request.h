#pragma once

#include "declaration/configuration.h"
#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A caller's request, before and after it has been checked.
namespace pomelohoist {

/// A request as it was read from the connection.
struct raw_request {
    std::string method;
    std::string target; ///< path and query
    std::vector<inner::header_field> headers;
    std::string body;

    /// @param name in any case
    /// @returns the value of the first field with that name, or nothing
    [[nodiscard]] std::optional<std::string> header(const std::string& name) const;
    friend bool operator==(const raw_request&, const raw_request&) = default;
};

/// A checked request.
struct entry_request {
    std::string request_id;
    std::optional<trace_context> trace; ///< of the caller
    std::string workspace;
    std::string application;
    endpoint_kind kind{endpoint_kind::model};
    std::string serves;                       ///< model or service
    std::string method;                       ///< towards the endpoint
    std::string path;                         ///< towards the endpoint
    std::vector<inner::header_field> headers; ///< towards the endpoint
    std::string body;
    bool stream{false};
    bool idempotent{true};       ///< may be run again; never true together with a key
    std::string idempotency_key; ///< empty for none
    std::string digest;
    std::uint64_t prefix_hash{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t max_output_tokens{0};
    priority importance{priority::normal};
    steady_time arrived;
    steady_time deadline;

    friend bool operator==(const entry_request&, const entry_request&) = default;
};

} // namespace pomelohoist
