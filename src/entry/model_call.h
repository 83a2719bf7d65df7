#pragma once

#include <pomelohoist/error.h>

#include <cstdint>
#include <string>

/// The JSON body of a model call.
namespace pomelohoist {

/// What the entry reads of a model call.
struct model_call {
    std::string model;
    bool stream{false};
    std::uint64_t prefix_hash{0};
    std::uint32_t prompt_tokens{0}; ///< estimate from the length of the text
    std::uint32_t max_output_tokens{0};

    friend bool operator==(const model_call&, const model_call&) = default;
};

/// @returns the call, or `bad_request` with what is wrong in the body
result<model_call> parse_model_call(const std::string& body);

/// @param body of a call that was parsed before
/// @param tokens number of tokens that the caller already has
/// @returns the body with `resume_from`
std::string with_resume_from(const std::string& body, std::uint64_t tokens);

} // namespace pomelohoist
