#pragma once

#include "declaration/configuration.h"

#include <pomelohoist/error.h>

#include <string>
#include <vector>

/// Declarations in INI files: sections [KIND.NAME] with the fields of an object.
namespace pomelohoist {

/// Reads all files as one set of declarations.
/// @returns the objects, or `invalid_declaration` with one line for each error of each file; a line names file,
/// section, key and the allowed values
result<object_map> read_declarations(const std::vector<std::string>& files);

/// Compares the current objects with the declared objects.
/// @returns the patches that give each object of `declared` exactly its declared fields, and that remove the objects
/// absent from `declared` if `prune` is set
std::vector<patch> diff_objects(const object_map& current, const object_map& declared, bool prune);

} // namespace pomelohoist
