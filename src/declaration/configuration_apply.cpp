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

failure conflict_of(const patch& wanted, const std::string& reason) {
    const std::string key = wanted.key.empty() ? "" : " " + wanted.key;
    return {error_kind::conflict,
            std::string{to_string(wanted.object.kind)} + " " + wanted.object.name + key + ": " + reason};
}

result<done> apply_to_object(object_table& objects, const patch& wanted) {
    const bool exists = objects.find(wanted.object) != nullptr;
    if (exists != wanted.expected.has_value()) {
        return conflict_of(wanted, exists ? "expected absent, exists" : "expected to exist, is absent");
    }
    if (!wanted.value) {
        objects.erase(wanted.object);
    } else if (!exists) {
        objects.modify(wanted.object);
    }
    return done{};
}

result<done> apply_patch(object_table& objects, const patch& wanted) {
    if (wanted.key.empty()) {
        return apply_to_object(objects, wanted);
    }
    const object_fields* fields = objects.find(wanted.object);
    std::optional<std::string> current;
    if (fields != nullptr) {
        const auto field = fields->values.find(wanted.key);
        if (field != fields->values.end()) {
            current = field->second;
        }
    }
    if (current != wanted.expected) {
        return conflict_of(wanted, "expected " + describe(wanted.expected) + ", is " + describe(current));
    }
    if (wanted.value) {
        objects.modify(wanted.object).values[wanted.key] = *wanted.value;
    } else if (current) {
        objects.modify(wanted.object).values.erase(wanted.key);
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
    std::set<object_key> touched;
    for (const patch& wanted : delta.change.patches) {
        const result<done> applied = apply_patch(*next_objects, wanted);
        if (!applied) {
            return applied.last_error();
        }
        touched.insert(wanted.object);
        // Labels stand in no typed view; those of endpoints stand in the reach index.
        const bool is_label = wanted.key.starts_with(label_prefix);
        const object_kind kind = wanted.object.kind;
        changed.workspaces = changed.workspaces || (kind == object_kind::workspace && !is_label);
        changed.applications = changed.applications || (kind == object_kind::application && !is_label);
        changed.endpoints = changed.endpoints || (kind == object_kind::endpoint && !is_label);
        changed.selectors = changed.selectors || (kind == object_kind::selector && !is_label);
        changed.endpoint_labels = changed.endpoint_labels || (kind == object_kind::endpoint && is_label);
    }
    std::string errors;
    for (const object_key& key : touched) {
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
