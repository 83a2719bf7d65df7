#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace pomelohoist {

/// Parses JSON from outside. Limits the nesting depth: a level takes much more memory than its bracket, and serializing
/// recurses once per level on the small stacks of the threads.
/// @returns the value
/// @attention throws an exception for text that is no JSON, or nested deeper than `config::max_json_depth`
nlohmann::json parse_json(const std::string& text);

} // namespace pomelohoist
