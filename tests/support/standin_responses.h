#pragma once

#include "support/http_client.h"

#include <pomelohoist/types.h>

#include <cstdint>
#include <map>
#include <string>

/// Requests to the stand-ins and the responses that callers must receive.
namespace pomelohoist::test_support {

/// A completion request of one workspace.
struct draft {
    std::string key; ///< bearer key
    std::string model;
    std::string application{"drafts"};
    std::string prompt;
    std::uint32_t max_tokens{8};
    bool stream{true};
    std::string idempotency_key; ///< empty for none

    friend bool operator==(const draft&, const draft&) = default;
};

/// @returns POST /v1/completions
http_request to_request(const draft& call);

/// @returns the text of the first choice, joined over all chunks of a stream; empty for a body of another form
std::string response_content(const http_response& response, bool stream);

/// @returns the text that the engine stand-in generates for this call
std::string expected_content(const draft& call);

/// @returns true when the response is the full response to this call
bool is_full_response(const draft& call, const http_response& response);

/// @returns `error.kind` of the body, or an empty string
std::string error_kind_of(const http_response& response);
/// @returns true when the body reports that the request was not run
bool says_not_run(const http_response& response);

/// Counters of a stand-in, by table and name.
using count_table = std::map<std::string, std::map<std::string, std::uint64_t>>;
/// @returns the counters; empty when the stand-in does not respond
count_table read_counts(const net_address& standin);
/// @returns the sum of one table
std::uint64_t sum_of(const count_table& counts, const std::string& table);

/// Sets fault switches of a stand-in.
/// @returns true when the stand-in has accepted them
bool set_faults(const net_address& standin, const std::string& json);

} // namespace pomelohoist::test_support
