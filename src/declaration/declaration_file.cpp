#include "declaration/declaration_file.h"

#include "common/ini_file.h"
#include "declaration/object_rules.h"

#include <optional>
#include <utility>

namespace pomelohoist {

namespace {

/// Declarations read so far, with the file of each object.
struct declaration_set {
    object_map objects;
    std::map<object_key, std::string> file_of;
    std::vector<std::string> errors;
};

std::string section_name(const object_key& key) {
    return std::string{to_string(key.kind)} + "." + key.name;
}

std::optional<object_key> parse_section(const std::string& name) {
    const auto dot = name.find('.');
    const std::optional<object_kind> kind = parse_object_kind(name.substr(0, dot));
    if (dot == std::string::npos || !kind) {
        return std::nullopt;
    }
    return object_key{*kind, name.substr(dot + 1)};
}

void add_section(const std::string& file, const ini_section& section, declaration_set& set) {
    const std::optional<object_key> key = parse_section(section.name);
    if (!key) {
        set.errors.push_back(ini_error(file, section.name, "",
                                       "unknown section; allowed are workspace.NAME, application.NAME, "
                                       "endpoint.NAME, selector.NAME"));
        return;
    }
    object_fields fields;
    for (const ini_entry& entry : section.entries) {
        fields.values[entry.key] = entry.value;
    }
    for (const field_error& error : check_object(*key, fields)) {
        set.errors.push_back(ini_error(file, section.name, error.key, error.reason));
    }
    const auto [existing, is_new] = set.file_of.emplace(*key, file);
    if (!is_new) {
        set.errors.push_back(
            ini_error(file, section.name, "",
                      "is also declared in " + existing->second + "; an object may be declared once in all files"));
        return;
    }
    set.objects.emplace(*key, std::move(fields));
}

// Reports objects that share a value that must be unique: a bearer key, an agent address, or a rank within a group.
void check_unique(declaration_set& set, object_kind kind, const std::vector<std::string>& keys) {
    std::map<std::string, object_key> owners;
    for (const auto& [key, fields] : set.objects) {
        if (key.kind != kind || !fields.values.contains(keys.front())) {
            continue;
        }
        std::string identity;
        for (const std::string& key_part : keys) {
            const auto found = fields.values.find(key_part);
            identity += (found == fields.values.end() ? "0" : found->second) + " ";
        }
        const auto [owner, is_new] = owners.emplace(identity, key);
        if (!is_new) {
            set.errors.push_back(ini_error(set.file_of.at(key), section_name(key), keys.back(),
                                           "is the same as in [" + section_name(owner->second) + "] of " +
                                               set.file_of.at(owner->second) + "; allowed is a value of its own"));
        }
    }
}

void add_field_patches(std::vector<patch>& patches, const object_key& key, const object_fields& current,
                       const object_fields& declared) {
    for (const auto& [name, value] : current.values) {
        if (!declared.values.contains(name)) {
            patches.push_back({key, name, value, std::nullopt});
        }
    }
    for (const auto& [name, value] : declared.values) {
        const auto found = current.values.find(name);
        if (found == current.values.end()) {
            patches.push_back({key, name, std::nullopt, value});
        } else if (found->second != value) {
            patches.push_back({key, name, found->second, value});
        }
    }
}

} // namespace

result<object_map> read_declarations(const std::vector<std::string>& files) {
    declaration_set set;
    for (const std::string& file : files) {
        const ini_content content = read_ini_file(file);
        set.errors.insert(set.errors.end(), content.errors.begin(), content.errors.end());
        for (const ini_section& section : content.sections) {
            add_section(file, section, set);
        }
    }
    check_unique(set, object_kind::workspace, {"key_sha256"});
    check_unique(set, object_kind::endpoint, {"agent"});
    check_unique(set, object_kind::endpoint, {"group", "rank"});
    if (set.errors.empty()) {
        return std::move(set.objects);
    }
    std::string text;
    for (const std::string& error : set.errors) {
        text += (text.empty() ? "" : "\n") + error;
    }
    return failure{error_kind::invalid_declaration, text};
}

std::vector<patch> diff_objects(const object_map& current, const object_map& declared, bool prune) {
    std::vector<patch> patches;
    for (const auto& [key, fields] : declared) {
        const auto found = current.find(key);
        if (found == current.end()) {
            patches.push_back({key, "", std::nullopt, ""});
        }
        add_field_patches(patches, key, found == current.end() ? object_fields{} : found->second, fields);
    }
    for (const auto& [key, fields] : current) {
        if (prune && !declared.contains(key)) {
            // Each field is removed by a patch of its own, so that a concurrent change of the field causes a conflict.
            add_field_patches(patches, key, fields, {});
            patches.push_back({key, "", "", std::nullopt});
        }
    }
    return patches;
}

} // namespace pomelohoist
