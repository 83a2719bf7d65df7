#pragma once

#include "declaration/configuration.h"

#include <string>
#include <string_view>
#include <vector>

/// Which fields the kinds of objects have, and which values are allowed.
namespace pomelohoist {

/// Begin of the keys that hold labels.
inline const std::string label_prefix = "label.";

/// What is wrong with one field, and what is allowed.
struct field_error {
    std::string key; ///< empty for the object itself
    std::string reason;

    friend bool operator==(const field_error&, const field_error&) = default;
};

/// @returns all errors of one object; none for an object that may be declared
std::vector<field_error> check_object(const object_key& key, const object_fields& fields);

/// @returns true for 1 to 63 letters, digits, '_', '-' and '.'
bool is_label_key(std::string_view text);
bool is_label_value(std::string_view text);
bool is_object_name(std::string_view text);

} // namespace pomelohoist
