#pragma once

#include "declaration/configuration.h"
#include "http/message_head.h"
#include "inner/messages.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A caller's request, before and after it has been checked.
namespace pomelohoist {

/// A caller's request as read from the connection.
struct raw_request {
    std::string method;
    std::string target; ///< path and query
    std::vector<inner::header_field> headers;
    std::string body;

    /// @param name compared case-insensitively
    /// @returns the value of the first field with that name, or nothing
    [[nodiscard]] std::optional<std::string> header(const std::string& name) const;
    friend bool operator==(const raw_request&, const raw_request&) = default;
};

/// @returns the request without its body
raw_request make_raw_request(request_head head);

/// A caller's request after validation by `request_parser`.
struct entry_request {
    std::string request_id;
    std::optional<trace_context> trace; ///< trace context of the caller
    std::string workspace;
    std::string application;
    endpoint_kind kind{endpoint_kind::model};
    std::string serves;                       ///< name of the model or service
    std::string method;                       ///< sent to the endpoint
    std::string path;                         ///< sent to the endpoint
    std::vector<inner::header_field> headers; ///< sent to the endpoint
    std::string body;
    bool stream{false};
    bool idempotent{true};       ///< may run more than once; always false for a request with an idempotency key
    std::string idempotency_key; ///< empty for none
    std::string digest;          ///< SHA-256 of workspace, application, target and body
    std::uint64_t prefix_hash{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t max_output_tokens{0};
    priority importance{priority::normal};
    steady_time arrived;
    steady_time deadline;

    friend bool operator==(const entry_request&, const entry_request&) = default;
};

} // namespace pomelohoist
