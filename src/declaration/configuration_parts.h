#pragma once

#include "declaration/configuration.h"

#include <string>

/// C++ declarations shared by the .cpp files that implement the class `configuration`.
namespace pomelohoist {

/// Parts of a configuration that a change modifies; the views that depend on them are rebuilt.
struct configuration::changed_parts {
    bool workspaces{false};
    bool applications{false};
    bool endpoints{false};
    bool selectors{false};
    bool endpoint_labels{false};

    friend bool operator==(const changed_parts&, const changed_parts&) = default;
};

/// Appends one line to `text` for each error of the object.
void append_object_errors(std::string& text, const object_key& key, const object_fields& fields);

} // namespace pomelohoist
