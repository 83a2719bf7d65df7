#include "declaration/configuration_parts.h"

#include "declaration/object_rules.h"
#include "declaration/object_table.h"

#include <set>
#include <utility>

namespace pomelohoist {

namespace {

std::string describe(const std::optional<std::string>& value) {
    return value ? "\"" + *value + "\"" : "absent";
}

failure conflict_of(const patch& object_patch, const std::string& reason) {
    const std::string key = object_patch.key.empty() ? "" : " " + object_patch.key;
    return {error_kind::conflict,
            std::string{to_string(object_patch.object.kind)} + " " + object_patch.object.name + key + ": " + reason};
}

result<done> apply_to_object(object_table& objects, const patch& object_patch) {
    const bool exists = objects.find(object_patch.object) != nullptr;
    if (exists != object_patch.expected.has_value()) {
        return conflict_of(object_patch, exists ? "expected absent, exists" : "expected to exist, is absent");
    }
    if (!object_patch.value) {
        objects.erase(object_patch.object);
    } else if (!exists) {
        objects.modify(object_patch.object);
    }
    return done{};
}

result<done> apply_patch(object_table& objects, const patch& object_patch) {
    if (object_patch.key.empty()) {
        return apply_to_object(objects, object_patch);
    }
    const object_fields* fields = objects.find(object_patch.object);
    std::optional<std::string> current;
    if (fields != nullptr) {
        const auto field = fields->values.find(object_patch.key);
        if (field != fields->values.end()) {
            current = field->second;
        }
    }
    if (current != object_patch.expected) {
        return conflict_of(object_patch, "expected " + describe(object_patch.expected) + ", is " + describe(current));
    }
    if (object_patch.value) {
        objects.modify(object_patch.object).values[object_patch.key] = *object_patch.value;
    } else if (current) {
        objects.modify(object_patch.object).values.erase(object_patch.key);
    }
    return done{};
}

} // namespace

result<configuration> configuration::apply(const configuration_delta& delta) const {
    if (delta.version != this->version_number + 1) {
        return failure{error_kind::internal, "delta of version " + std::to_string(delta.version) +
                                                 " does not follow version " + std::to_string(this->version_number)};
    }
    configuration next = *this;
    next.version_number = delta.version;
    auto next_objects = std::make_shared<object_table>(this->all_objects->begin_change());
    changed_parts changed;
    std::set<object_key> changed_objects;
    for (const patch& object_patch : delta.change.patches) {
        const result<done> applied = apply_patch(*next_objects, object_patch);
        if (!applied) {
            return applied.last_error();
        }
        changed_objects.insert(object_patch.object);
        // Typed views hold no labels, but the reach index depends on the labels of endpoints.
        const bool is_label = object_patch.key.starts_with(label_prefix);
        const object_kind kind = object_patch.object.kind;
        changed.workspaces = changed.workspaces || (kind == object_kind::workspace && !is_label);
        changed.applications = changed.applications || (kind == object_kind::application && !is_label);
        changed.endpoints = changed.endpoints || (kind == object_kind::endpoint && !is_label);
        changed.selectors = changed.selectors || (kind == object_kind::selector && !is_label);
        changed.endpoint_labels = changed.endpoint_labels || (kind == object_kind::endpoint && is_label);
    }
    std::string errors;
    for (const object_key& key : changed_objects) {
        const object_fields* fields = next_objects->find(key);
        if (fields != nullptr) {
            append_object_errors(errors, key, *fields);
        }
    }
    if (!errors.empty()) {
        return failure{error_kind::invalid_declaration, errors};
    }
    next_objects->end_change();
    next.all_objects = std::move(next_objects);
    const result<done> rebuilt = next.rebuild(changed);
    if (!rebuilt) {
        return rebuilt.last_error();
    }
    return next;
}

} // namespace pomelohoist
