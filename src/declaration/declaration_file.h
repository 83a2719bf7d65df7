#pragma once

#include "declaration/configuration.h"

#include <pomelohoist/error.h>

#include <string>
#include <vector>

/// Declarations in INI files: sections [KIND.NAME] with the fields of an object.
namespace pomelohoist {

/// Reads all files as one set of declarations.
/// @returns the objects, or `invalid_declaration` with one line for each error of each file; a line names file,
/// section, key and what is allowed
result<object_map> read_declarations(const std::vector<std::string>& files);

/// Finds what turns `now` into `wanted`.
/// A declared object gets exactly the fields of `wanted`. Objects that are absent from `wanted` are kept, or removed
/// when `prune` is set.
std::vector<patch> diff_objects(const object_map& now, const object_map& wanted, bool prune);

} // namespace pomelohoist
