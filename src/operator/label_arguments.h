#pragma once

#include "declaration/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Arguments of the command `label`.
namespace pomelohoist {

/// Labels to set; a label without a value is removed.
struct label_arguments {
    object_key object;
    std::map<std::string, std::optional<std::string>> labels;

    friend bool operator==(const label_arguments&, const label_arguments&) = default;
};

/// @param arguments KIND NAME KEY=VALUE... or KEY-
/// @returns the arguments, or `bad_request` with one line for each error
result<label_arguments> parse_label_arguments(const std::vector<std::string>& arguments);

/// @param current fields of the object
/// @returns patches that expect the current label values and the existence of the object; empty when nothing changes
std::vector<patch> label_patches(const label_arguments& arguments, const object_fields& current);

} // namespace pomelohoist
