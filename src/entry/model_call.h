#pragma once

#include <pomelohoist/error.h>

#include <cstdint>
#include <string>

/// The JSON body of a model call.
namespace pomelohoist {

/// The fields of a model call that the entry uses.
struct model_call {
    std::string model;
    bool stream{false};
    std::uint64_t prefix_hash{0};
    std::uint32_t prompt_tokens{0}; ///< estimated from the length of the prompt
    std::uint32_t max_output_tokens{0};

    friend bool operator==(const model_call&, const model_call&) = default;
};

/// @returns the call, or `bad_request` with the fault in the body
result<model_call> parse_model_call(const std::string& body);

/// @param body of a call that `parse_model_call` has accepted
/// @param tokens number of tokens that the caller has received
/// @returns the body with the field `resume_from` set to `tokens`
std::string with_resume_from(const std::string& body, std::uint64_t tokens);

} // namespace pomelohoist
