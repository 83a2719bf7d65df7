#include "declaration/configuration_views.h"
#include "declaration/object_rules.h"

#include <optional>

namespace pomelohoist {

namespace {

/// Unmet conditions of one selector for one endpoint.
struct unmet_conditions {
    std::size_t number{0};
    std::string first;
};

void add_unmet(unmet_conditions& unmet, const label_selector& label_conditions, const object_fields& fields,
               const std::string& object) {
    for (const label_selector::condition& condition : label_conditions.conditions) {
        if (label_selector{{condition}}.matches(fields)) {
            continue;
        }
        if (unmet.number++ == 0) {
            const auto found = fields.values.find(label_prefix + condition.label);
            const std::string actual = found == fields.values.end() ? "has no such label" : "has " + found->second;
            unmet.first = object + " needs " + condition.label;
            unmet.first += (condition.negated ? "!=" : "=") + condition.value;
            unmet.first += ", " + actual;
        }
    }
}

unmet_conditions unmet_of(const selector& candidate, const object_fields& workspace_fields,
                          const object_fields& application_fields, const object_fields& endpoint_fields) {
    unmet_conditions unmet;
    add_unmet(unmet, candidate.workspaces, workspace_fields, "workspace");
    add_unmet(unmet, candidate.applications, application_fields, "application");
    add_unmet(unmet, candidate.endpoints, endpoint_fields, "endpoint");
    return unmet;
}

reach_explanation explain_endpoint(const std::string& name, const std::vector<selector>& selectors,
                                   const object_fields& workspace_fields, const object_fields& application_fields,
                                   const object_fields& endpoint_fields) {
    std::optional<unmet_conditions> nearest;
    std::string nearest_name;
    for (const selector& candidate : selectors) {
        const unmet_conditions unmet = unmet_of(candidate, workspace_fields, application_fields, endpoint_fields);
        if (unmet.number == 0) {
            return {name, true, "selector " + candidate.name};
        }
        if (!nearest || unmet.number < nearest->number) {
            nearest = unmet;
            nearest_name = candidate.name;
        }
    }
    if (!nearest) {
        return {name, false, "no selector is declared"};
    }
    return {name, false, "selector " + nearest_name + ": " + nearest->first};
}

} // namespace

std::vector<reach_explanation> configuration::explain(const std::string& workspace_name,
                                                      const std::string& application_name) const {
    const object_fields* workspace_fields = this->fields_of(object_kind::workspace, workspace_name);
    const object_fields* application_fields = this->fields_of(object_kind::application, application_name);
    std::vector<reach_explanation> lines;
    for (const endpoint& declared : this->endpoint_set->by_name) {
        if (workspace_fields == nullptr) {
            lines.push_back({declared.name, false, "workspace " + workspace_name + " is not declared"});
        } else if (application_fields == nullptr) {
            lines.push_back({declared.name, false, "application " + application_name + " is not declared"});
        } else {
            const object_fields* endpoint_fields = this->fields_of(object_kind::endpoint, declared.name);
            lines.push_back(explain_endpoint(declared.name, this->selectors->by_name, *workspace_fields,
                                             *application_fields, *endpoint_fields));
        }
    }
    return lines;
}

} // namespace pomelohoist
