#include "declaration/configuration_parts.h"

#include "declaration/object_rules.h"
#include "declaration/reach_index.h"

#include <algorithm>
#include <utility>

namespace pomelohoist {

void append_object_errors(std::string& text, const object_key& key, const object_fields& fields) {
    for (const field_error& error : check_object(key, fields)) {
        text += (text.empty() ? "" : "\n") + std::string{to_string(key.kind)} + " " + key.name +
                (error.key.empty() ? "" : " " + error.key) + ": " + error.reason;
    }
}

configuration::configuration()
    : all_objects(std::make_shared<object_table>()), workspaces(std::make_shared<workspace_view>()),
      applications(std::make_shared<application_view>()), endpoint_set(std::make_shared<endpoint_view>()),
      selectors(std::make_shared<selector_view>()),
      reach(std::make_shared<reach_index>(this->endpoint_set, this->selectors, *this->all_objects)) {}

result<configuration> configuration::build(std::uint64_t version, object_map objects) {
    std::string errors;
    for (const auto& [key, fields] : objects) {
        append_object_errors(errors, key, fields);
    }
    if (!errors.empty()) {
        return failure{error_kind::invalid_declaration, errors};
    }
    configuration built;
    built.version_number = version;
    built.all_objects = std::make_shared<object_table>(std::move(objects));
    const result<done> rebuilt = built.rebuild({true, true, true, true, true});
    if (!rebuilt) {
        return rebuilt.last_error();
    }
    return built;
}

result<done> configuration::rebuild(const changed_parts& changed) {
    std::string errors;
    if (changed.workspaces) {
        const auto built = build_workspaces(*this->all_objects);
        errors = built ? "" : built.last_error().reason;
        this->workspaces = built ? *built : nullptr;
    }
    if (changed.endpoints) {
        const auto built = build_endpoints(*this->all_objects);
        if (!built) {
            errors += (errors.empty() ? "" : "\n") + built.last_error().reason;
        }
        this->endpoint_set = built ? *built : nullptr;
    }
    if (!errors.empty()) {
        return failure{error_kind::invalid_declaration, errors};
    }
    if (changed.applications) {
        this->applications = build_applications(*this->all_objects);
    }
    if (changed.selectors) {
        this->selectors = build_selectors(*this->all_objects);
    }
    if (changed.endpoints || changed.selectors || changed.endpoint_labels) {
        this->reach = std::make_shared<reach_index>(this->endpoint_set, this->selectors, *this->all_objects);
    }
    return done{};
}

std::uint64_t configuration::version() const {
    return this->version_number;
}

const object_map& configuration::objects() const {
    return this->all_objects->all();
}

void configuration::for_each_object(
    const std::function<void(const object_key& key, const object_fields& fields)>& visitor) const {
    for (std::uint8_t kind = 0; kind < static_cast<std::uint8_t>(object_kind::count); ++kind) {
        object_key key{static_cast<object_kind>(kind), ""};
        this->all_objects->for_each(key.kind, [&](const std::string& name, const object_fields& fields) {
            key.name = name;
            visitor(key, fields);
        });
    }
}

const workspace* configuration::find_workspace_by_key(const std::string& digest) const {
    const std::vector<workspace>& list = this->workspaces->by_name;
    const std::vector<std::uint32_t>& order = this->workspaces->by_key;
    const auto found =
        std::lower_bound(order.begin(), order.end(), digest, [&list](std::uint32_t index, const std::string& searched) {
            return list[index].key_sha256 < searched;
        });
    return found == order.end() || list[*found].key_sha256 != digest ? nullptr : &list[*found];
}

const workspace* configuration::find_workspace(const std::string& name) const {
    const std::vector<workspace>& list = this->workspaces->by_name;
    const auto found =
        std::lower_bound(list.begin(), list.end(), name, [](const workspace& candidate, const std::string& searched) {
            return candidate.name < searched;
        });
    return found == list.end() || found->name != name ? nullptr : &*found;
}

const application* configuration::find_application(const std::string& name) const {
    const auto found = this->applications->by_name.find(name);
    return found == this->applications->by_name.end() ? nullptr : &found->second;
}

endpoint_handle configuration::find_endpoint(const std::string& name) const {
    const std::vector<endpoint>& list = this->endpoint_set->by_name;
    const auto found =
        std::lower_bound(list.begin(), list.end(), name, [](const endpoint& candidate, const std::string& searched) {
            return candidate.name < searched;
        });
    if (found == list.end() || found->name != name) {
        return {};
    }
    return {static_cast<std::uint32_t>(std::distance(list.begin(), found))};
}

const endpoint& configuration::at(endpoint_handle handle) const {
    return this->endpoint_set->by_name.at(handle.index);
}

const std::vector<endpoint>& configuration::endpoints() const {
    return this->endpoint_set->by_name;
}

bool configuration::is_served(endpoint_kind kind, const std::string& serves) const {
    return this->endpoint_set->served.contains({kind, serves});
}

const object_fields* configuration::fields_of(object_kind kind, const std::string& name) const {
    // Requests that do not name an application use the default application. If it is not declared, it has no labels.
    static const object_fields no_labels;
    const object_fields* declared = this->all_objects->find({kind, name});
    if (declared == nullptr && kind == object_kind::application && name == default_application_name) {
        return &no_labels;
    }
    return declared;
}

std::vector<endpoint_handle> configuration::reachable(const std::string& workspace_name,
                                                      const std::string& application_name, endpoint_kind kind,
                                                      const std::string& serves) const {
    const object_fields* workspace_fields = this->fields_of(object_kind::workspace, workspace_name);
    const object_fields* application_fields = this->fields_of(object_kind::application, application_name);
    if (workspace_fields == nullptr || application_fields == nullptr) {
        return {};
    }
    return this->reach->reachable(*workspace_fields, *application_fields, kind, serves);
}

bool configuration::may_reach(const std::string& workspace_name, const std::string& application_name,
                              const std::string& endpoint_name) const {
    const object_fields* workspace_fields = this->fields_of(object_kind::workspace, workspace_name);
    const object_fields* application_fields = this->fields_of(object_kind::application, application_name);
    const endpoint_handle target = this->find_endpoint(endpoint_name);
    if (workspace_fields == nullptr || application_fields == nullptr || !target.is_valid()) {
        return false;
    }
    return this->reach->may_reach(*workspace_fields, *application_fields, target);
}

} // namespace pomelohoist
