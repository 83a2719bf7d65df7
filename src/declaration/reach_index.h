#pragma once

#include "declaration/configuration_views.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

/// Finds the endpoints that the selectors let a pair of workspace and application reach.
namespace pomelohoist {

/// The index depends only on endpoints and selectors, so a change to a workspace or an application does not rebuild it.
class reach_index {
  public:
    reach_index(std::shared_ptr<const endpoint_view> endpoint_set, std::shared_ptr<const selector_view> selector_set,
                const object_table& objects);

    /// @returns the reachable endpoints of this kind that serve the name, ascending
    [[nodiscard]] std::vector<endpoint_handle> reachable(const object_fields& workspace_fields,
                                                         const object_fields& application_fields, endpoint_kind kind,
                                                         const std::string& serves) const;
    [[nodiscard]] bool may_reach(const object_fields& workspace_fields, const object_fields& application_fields,
                                 endpoint_handle target) const;

  private:
    using handle_list = std::shared_ptr<const std::vector<endpoint_handle>>;

    [[nodiscard]] std::string cache_key(const object_fields& workspace_fields, const object_fields& application_fields,
                                        endpoint_kind kind, const std::string& serves) const;
    [[nodiscard]] std::vector<endpoint_handle> find(const object_fields& workspace_fields,
                                                    const object_fields& application_fields, endpoint_kind kind,
                                                    const std::string& serves) const;

    std::shared_ptr<const endpoint_view> endpoints;
    std::shared_ptr<const selector_view> selectors;
    std::vector<std::vector<bool>> matching_endpoints; ///< by selector, then by endpoint index
    std::vector<std::string> workspace_labels;         ///< keys of the workspace labels that selectors test
    std::vector<std::string> application_labels;

    mutable std::mutex mutex;
    mutable std::unordered_map<std::string, handle_list> cache;
};

} // namespace pomelohoist
