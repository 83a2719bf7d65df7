#pragma once

#include "support/http_client.h"

#include <pomelohoist/types.h>

#include <cstdint>
#include <map>
#include <string>

/// What callers send to the stand-ins and what they must get back.
namespace pomelohoist::test_support {

/// A model call of one workspace.
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

/// @returns the text of all choices of the answer, streamed or not; nothing for another form
std::string answer_content(const http_response& answer, bool stream);

/// @returns the text that the engine stand-in gives to this call
std::string standin_answer(const draft& call);

/// @returns true when the answer is the whole answer to this very call
bool is_whole_answer(const draft& call, const http_response& answer);

/// @returns `error.kind` of the body, or an empty text
std::string error_kind_of(const http_response& answer);
/// @returns true when the body says that the request was not run
bool says_not_run(const http_response& answer);

/// Counters of a stand-in, by table and name.
using count_table = std::map<std::string, std::map<std::string, std::uint64_t>>;
/// @returns the counters, empty when the stand-in does not answer
count_table read_counts(const net_address& standin);
/// @returns the sum of one table
std::uint64_t sum_of(const count_table& counts, const std::string& table);

/// Sets fault switches of a stand-in.
bool set_faults(const net_address& standin, const std::string& json);

} // namespace pomelohoist::test_support
