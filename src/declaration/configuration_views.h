#pragma once

#include "declaration/configuration.h"
#include "declaration/object_table.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Typed views of the declared objects. Consecutive snapshots share the views that did not change.
namespace pomelohoist {

/// Workspaces sorted by name. A list of indexes into `by_name`, sorted by key digest, allows a binary search by key and
/// takes 60 KB for 15,000 workspaces.
struct workspace_view {
    std::vector<workspace> by_name;
    std::vector<std::uint32_t> by_key;

    friend bool operator==(const workspace_view&, const workspace_view&) = default;
};

struct application_view {
    std::map<std::string, application> by_name;

    friend bool operator==(const application_view&, const application_view&) = default;
};

/// Endpoints sorted by name; an endpoint handle holds the index in `by_name`.
struct endpoint_view {
    std::vector<endpoint> by_name;
    std::set<std::pair<endpoint_kind, std::string>> served;

    friend bool operator==(const endpoint_view&, const endpoint_view&) = default;
};

struct selector_view {
    std::vector<selector> by_name;

    friend bool operator==(const selector_view&, const selector_view&) = default;
};

/// The builders expect objects that `check_object` accepts.
/// @returns the view, or `invalid_declaration` if objects contradict each other
result<std::shared_ptr<const workspace_view>> build_workspaces(const object_table& objects);
std::shared_ptr<const application_view> build_applications(const object_table& objects);
result<std::shared_ptr<const endpoint_view>> build_endpoints(const object_table& objects);
std::shared_ptr<const selector_view> build_selectors(const object_table& objects);

} // namespace pomelohoist
