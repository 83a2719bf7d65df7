#include "declaration/reach_index.h"

#include "declaration/object_rules.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pomelohoist {

namespace {

// Limits the cache to about 1.5 MB for 1,400 endpoints that are all reachable. Workspaces and applications with the
// same values of the labels that selectors test share an entry, so far fewer entries than workspaces are needed.
constexpr std::size_t max_cached_lists = 256;

std::vector<std::string> condition_labels(const std::vector<selector>& selectors, label_selector selector::*field) {
    std::set<std::string> labels;
    for (const selector& candidate : selectors) {
        for (const label_selector::condition& required : (candidate.*field).conditions) {
            labels.insert(label_prefix + required.label);
        }
    }
    return {labels.begin(), labels.end()};
}

// The separator cannot occur in label values, so different values give different keys.
void append_values(std::string& key, const object_fields& fields, const std::vector<std::string>& labels) {
    for (const std::string& label : labels) {
        const auto found = fields.values.find(label);
        if (found != fields.values.end()) {
            key += found->second;
        }
        key += '\n';
    }
}

} // namespace

reach_index::reach_index(std::shared_ptr<const endpoint_view> endpoint_set,
                         std::shared_ptr<const selector_view> selector_set, const object_table& objects)
    : endpoints(std::move(endpoint_set)), selectors(std::move(selector_set)),
      workspace_labels(condition_labels(this->selectors->by_name, &selector::workspaces)),
      application_labels(condition_labels(this->selectors->by_name, &selector::applications)) {
    const std::size_t number = this->endpoints->by_name.size();
    this->matching_endpoints.resize(this->selectors->by_name.size());
    for (std::vector<bool>& matching : this->matching_endpoints) {
        matching.reserve(number);
    }
    objects.for_each(object_kind::endpoint, [this](const std::string& /*name*/, const object_fields& fields) {
        for (std::size_t i = 0; i < this->matching_endpoints.size(); ++i) {
            this->matching_endpoints[i].push_back(this->selectors->by_name[i].endpoints.matches(fields));
        }
    });
}

std::string reach_index::cache_key(const object_fields& workspace_fields, const object_fields& application_fields,
                                   endpoint_kind kind, const std::string& serves) const {
    std::string key;
    append_values(key, workspace_fields, this->workspace_labels);
    append_values(key, application_fields, this->application_labels);
    key += kind == endpoint_kind::model ? 'm' : 's';
    key += serves;
    return key;
}

std::vector<endpoint_handle> reach_index::find(const object_fields& workspace_fields,
                                               const object_fields& application_fields, endpoint_kind kind,
                                               const std::string& serves) const {
    const std::size_t number = this->endpoints->by_name.size();
    std::vector<bool> is_reachable(number, false);
    for (std::size_t i = 0; i < this->selectors->by_name.size(); ++i) {
        const selector& candidate = this->selectors->by_name[i];
        if (!candidate.workspaces.matches(workspace_fields) || !candidate.applications.matches(application_fields)) {
            continue;
        }
        for (std::size_t j = 0; j < number; ++j) {
            is_reachable[j] = is_reachable[j] || this->matching_endpoints[i][j];
        }
    }
    std::vector<endpoint_handle> handles;
    for (std::size_t j = 0; j < number; ++j) {
        const endpoint& candidate = this->endpoints->by_name[j];
        if (is_reachable[j] && candidate.kind == kind && candidate.serves == serves) {
            handles.push_back({static_cast<std::uint32_t>(j)});
        }
    }
    return handles;
}

std::vector<endpoint_handle> reach_index::reachable(const object_fields& workspace_fields,
                                                    const object_fields& application_fields, endpoint_kind kind,
                                                    const std::string& serves) const {
    // Callers choose `serves`, so a name that no endpoint serves must not occupy a cache entry.
    if (!this->endpoints->served.contains({kind, serves})) {
        return {};
    }
    const std::string key = this->cache_key(workspace_fields, application_fields, kind, serves);
    handle_list cached;
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->cache.find(key);
        cached = found == this->cache.end() ? nullptr : found->second;
    }
    if (cached) {
        return *cached;
    }
    std::vector<endpoint_handle> handles = this->find(workspace_fields, application_fields, kind, serves);
    const std::lock_guard lock{this->mutex};
    if (this->cache.size() >= max_cached_lists) {
        this->cache.clear();
    }
    this->cache[key] = std::make_shared<const std::vector<endpoint_handle>>(handles);
    return handles;
}

bool reach_index::may_reach(const object_fields& workspace_fields, const object_fields& application_fields,
                            endpoint_handle target) const {
    for (std::size_t i = 0; i < this->selectors->by_name.size(); ++i) {
        const selector& candidate = this->selectors->by_name[i];
        if (this->matching_endpoints[i][target.index] && candidate.workspaces.matches(workspace_fields) &&
            candidate.applications.matches(application_fields)) {
            return true;
        }
    }
    return false;
}

} // namespace pomelohoist
