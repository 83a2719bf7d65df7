#pragma once

#include "declaration/configuration.h"

#include <string>
#include <string_view>
#include <vector>

/// Fields of each kind of object, and their allowed values.
namespace pomelohoist {

/// Prefix of the field keys that hold labels.
inline const std::string label_prefix = "label.";

/// Error in one field.
struct field_error {
    std::string key;    ///< empty for the object itself
    std::string reason; ///< includes the allowed values

    friend bool operator==(const field_error&, const field_error&) = default;
};

/// @returns all errors of one object; empty for a valid object
std::vector<field_error> check_object(const object_key& key, const object_fields& fields);

/// @returns true for 1 to 63 letters, digits, '_', '-' and '.'
bool is_label_key(std::string_view text);
bool is_label_value(std::string_view text);
bool is_object_name(std::string_view text);

} // namespace pomelohoist
