#pragma once

#include "declaration/configuration.h"

#include <string>

/// What the sources of `configuration` share.
namespace pomelohoist {

/// Views that depend on the fields that a change touches.
struct configuration::changed_parts {
    bool workspaces{false};
    bool applications{false};
    bool endpoints{false};
    bool selectors{false};
    bool endpoint_labels{false};

    friend bool operator==(const changed_parts&, const changed_parts&) = default;
};

/// Appends one line for each error of the object.
void append_object_errors(std::string& text, const object_key& key, const object_fields& fields);

} // namespace pomelohoist
