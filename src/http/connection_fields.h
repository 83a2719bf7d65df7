#pragma once

#include "inner/messages.h"

#include <string>
#include <string_view>
#include <vector>

/// Fields that concern one connection only, and those that reach the other side.
namespace pomelohoist {

/// @returns true for a hop-by-hop field, and for Content-Length, which the framing of each connection states anew
[[nodiscard]] bool is_connection_field(std::string_view name);

/// @returns the options of all Connection fields, in lower case
[[nodiscard]] std::vector<std::string> connection_options(const std::vector<inner::header_field>& fields);

/// @returns true when one of the Connection fields has the option
/// @param option in lower case
[[nodiscard]] bool has_connection_option(const std::vector<inner::header_field>& fields, std::string_view option);

/// @returns the fields without connection fields and without those that Connection names; repeated fields and the
/// order are kept
[[nodiscard]] std::vector<inner::header_field> end_to_end_fields(const std::vector<inner::header_field>& fields);

/// @returns the end-to-end fields of a response; to a HEAD request, also the length of the body that GET would have
[[nodiscard]] std::vector<inner::header_field> response_fields(const std::vector<inner::header_field>& fields,
                                                               bool is_head_request);

} // namespace pomelohoist
