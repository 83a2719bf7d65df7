#include "direct/routing_table.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace pomelohoist {

routing_table::routing_table(routing_content declared) : content(std::move(declared)) {
    this->routes_by_prefix.resize(this->content.routes.size());
    std::iota(this->routes_by_prefix.begin(), this->routes_by_prefix.end(), 0U);
    std::sort(this->routes_by_prefix.begin(), this->routes_by_prefix.end(),
              [this](std::uint32_t left, std::uint32_t right) {
                  const route& a = this->content.routes[left];
                  const route& b = this->content.routes[right];
                  return std::tie(a.host, a.prefix) < std::tie(b.host, b.prefix);
              });
    const std::size_t workspaces = this->content.workspaces ? this->content.workspaces->size() : 0;
    for (std::uint32_t i = 0; i < workspaces; ++i) {
        for (const std::string& key : (*this->content.workspaces)[i].keys) {
            this->owners.push_back({key, i});
        }
    }
    std::sort(this->owners.begin(), this->owners.end(),
              [](const key_owner& left, const key_owner& right) { return left.key < right.key; });
}

const route* routing_table::find_route(std::string_view host, std::string_view path) const {
    // Looks up each prefix of the path that ends at a slash, the longest first: the number of look-ups depends on the
    // path and not on the number of routes.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const std::pair<std::string_view, std::string_view> searched_key{host, path.substr(0, slash + 1)};
        const auto key_of = [this](std::uint32_t index) {
            const route& candidate = this->content.routes[index];
            return std::pair<std::string_view, std::string_view>{candidate.host, candidate.prefix};
        };
        const auto found =
            std::lower_bound(this->routes_by_prefix.begin(), this->routes_by_prefix.end(), searched_key,
                             [&key_of](std::uint32_t index, const auto& key) { return key_of(index) < key; });
        if (found != this->routes_by_prefix.end() && key_of(*found) == searched_key) {
            return &this->content.routes[*found];
        }
    }
    return nullptr;
}

const workspace_keys* routing_table::find_workspace(std::string_view key) const {
    const auto found = std::lower_bound(
        this->owners.begin(), this->owners.end(), key,
        [](const key_owner& owner, std::string_view searched_key) { return owner.key < searched_key; });
    return found != this->owners.end() && found->key == key ? &(*this->content.workspaces)[found->workspace] : nullptr;
}

const service* routing_table::find_service(std::string_view name) const {
    const auto found = std::find_if(this->content.services.begin(), this->content.services.end(),
                                    [name](const service& candidate) { return candidate.name == name; });
    return found != this->content.services.end() ? &*found : nullptr;
}

} // namespace pomelohoist
