#pragma once

#include "declaration/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Arguments of the command `label`.
namespace pomelohoist {

/// Labels to set, or to remove where there is no value.
struct label_arguments {
    object_key object;
    std::map<std::string, std::optional<std::string>> labels;

    friend bool operator==(const label_arguments&, const label_arguments&) = default;
};

/// @param arguments KIND NAME KEY=VALUE... or KEY-
/// @returns the arguments, or `bad_request` with one line for each error
result<label_arguments> parse_label_arguments(const std::vector<std::string>& arguments);

/// @param now fields of the object
/// @returns patches that expect the labels as they are now and that the object exists; empty when nothing changes
std::vector<patch> label_patches(const label_arguments& wanted, const object_fields& now);

} // namespace pomelohoist
