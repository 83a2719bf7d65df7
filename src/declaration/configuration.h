#pragma once

#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// Declared objects, changes to them, and the immutable snapshot that the daemons use.
namespace pomelohoist {

enum class object_kind : std::uint8_t { workspace, application, endpoint, selector, count };

/// @returns "workspace", "application", "endpoint" or "selector"
std::string_view to_string(object_kind kind);
/// @returns the kind with that name, or nothing
std::optional<object_kind> parse_object_kind(std::string_view name);

/// Identifies a declared object.
struct object_key {
    object_kind kind{object_kind::count};
    std::string name;

    template <class Archive> void serialize(Archive& archive) { archive(this->kind, this->name); }
    friend bool operator==(const object_key&, const object_key&) = default;
    friend bool operator<(const object_key& left, const object_key& right) {
        return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
    }
};

/// Fields of a declared object by key. Label X is stored under the key "label.X".
struct object_fields {
    std::map<std::string, std::string> values;

    template <class Archive> void serialize(Archive& archive) { archive(this->values); }
    friend bool operator==(const object_fields&, const object_fields&) = default;
};

using object_map = std::map<object_key, object_fields>;

/// Sets or removes one field, provided that the field still has the expected value.
/// A patch with an empty key creates, removes or checks the object itself: the object must exist if `expected` is set
/// and must be absent otherwise; if `value` is set the object exists afterwards (a new one has no fields), otherwise
/// the object is removed with its fields.
struct patch {
    object_key object;
    std::string key;                     ///< empty for the object itself
    std::optional<std::string> expected; ///< value before the change, `std::nullopt` if the field is absent
    std::optional<std::string> value;    ///< value after the change, `std::nullopt` to remove the field

    template <class Archive> void serialize(Archive& archive) {
        archive(this->object, this->key, this->expected, this->value);
    }
    friend bool operator==(const patch&, const patch&) = default;
};

/// Patches of one operator command, applied atomically.
struct configuration_change {
    std::string id; ///< random; identifies a retried commit whose response was lost
    std::vector<patch> patches;

    template <class Archive> void serialize(Archive& archive) { archive(this->id, this->patches); }
    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// An accepted change and the configuration version that it resulted in.
struct configuration_delta {
    std::uint64_t version{0};
    configuration_change change;

    template <class Archive> void serialize(Archive& archive) { archive(this->version, this->change); }
    friend bool operator==(const configuration_delta&, const configuration_delta&) = default;
};

/// Conditions `label = value`, joined by "and". A selector without conditions matches everything.
struct label_selector {
    struct condition {
        std::string label;
        std::string value;
        bool negated{false}; ///< written `label!=value`

        friend bool operator==(const condition&, const condition&) = default;
    };
    std::vector<condition> conditions;

    /// @param text "a=b,c!=d", or "*" for everything
    static result<label_selector> parse(const std::string& text);
    [[nodiscard]] bool matches(const object_fields& fields) const;
    friend bool operator==(const label_selector&, const label_selector&) = default;
};

struct workspace {
    std::string name;
    std::string key_sha256; ///< hexadecimal digest of the bearer key
    double weight{1.0};     ///< share in the weighted fair queues
    friend bool operator==(const workspace&, const workspace&) = default;
};

struct application {
    std::string name;
    priority importance{priority::normal};
    bool idempotent{true};
    std::uint32_t deadline_ms{0}; ///< 0 for the default
    friend bool operator==(const application&, const application&) = default;
};

enum class endpoint_kind : std::uint8_t { model, service, count };

struct endpoint {
    std::string name;
    endpoint_kind kind{endpoint_kind::model};
    net_address agent; ///< inner address of the endpoint's agent (UDP and TCP)
    std::string data_centre;
    std::string host;   ///< as in the platform's host list
    std::string serves; ///< name of the model, or of the service
    std::string group;  ///< expert-parallel group, empty for none
    std::uint32_t rank{0};
    bool checks_fencing{false};
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

struct selector {
    std::string name;
    label_selector workspaces;
    label_selector applications;
    label_selector endpoints;
    friend bool operator==(const selector&, const selector&) = default;
};

/// States whether an endpoint is reachable, and why. The nearest selector is the one with the fewest unmet conditions.
struct reach_explanation {
    std::string endpoint;
    bool reachable{false};
    std::string reason; ///< the matching selector, or the nearest selector and its first unmet condition

    friend bool operator==(const reach_explanation&, const reach_explanation&) = default;
};

class object_table;
class reach_index;
struct application_view;
struct endpoint_view;
struct selector_view;
struct workspace_view;

/// Application of requests that do not name an application.
inline constexpr std::string_view default_application_name = "default";

/// One version of all declarations. Immutable.
class configuration {
  public:
    /// Version 0, without objects.
    configuration();

    /// Builds the typed views.
    /// @returns the configuration, or `invalid_declaration` with one line for each error
    static result<configuration> build(std::uint64_t version, object_map objects);

    /// @returns the configuration after the change, `conflict` with object and key in the reason if a field no longer
    /// has its expected value, or `invalid_declaration`
    /// @attention the delta must have the version `version() + 1`
    [[nodiscard]] result<configuration> apply(const configuration_delta& delta) const;

    [[nodiscard]] std::uint64_t version() const;
    /// @attention the first call after a change copies all objects (about 20 ms for 16,400 objects)
    [[nodiscard]] const object_map& objects() const;
    /// Calls the visitor for each object, ascending by kind and name, without copying the objects.
    void for_each_object(const std::function<void(const object_key& key, const object_fields& fields)>& visitor) const;

    /// @param digest SHA-256 of a bearer key in hexadecimal
    /// @returns the workspace, or null
    [[nodiscard]] const workspace* find_workspace_by_key(const std::string& digest) const;
    [[nodiscard]] const workspace* find_workspace(const std::string& name) const;
    [[nodiscard]] const application* find_application(const std::string& name) const;
    [[nodiscard]] endpoint_handle find_endpoint(const std::string& name) const;
    /// @attention `handle` must be valid and come from this snapshot
    [[nodiscard]] const endpoint& at(endpoint_handle handle) const;
    [[nodiscard]] const std::vector<endpoint>& endpoints() const;
    /// @returns true if an endpoint of this kind serves the name, regardless of the workspace
    [[nodiscard]] bool is_served(endpoint_kind kind, const std::string& serves) const;

    /// @returns the endpoints that the workspace and application may reach, ascending
    [[nodiscard]] std::vector<endpoint_handle> reachable(const std::string& workspace_name,
                                                         const std::string& application_name, endpoint_kind kind,
                                                         const std::string& serves) const;
    /// @returns true if a selector lets the workspace and application reach the endpoint
    [[nodiscard]] bool may_reach(const std::string& workspace_name, const std::string& application_name,
                                 const std::string& endpoint_name) const;
    /// @returns one explanation for each endpoint
    [[nodiscard]] std::vector<reach_explanation> explain(const std::string& workspace_name,
                                                         const std::string& application_name) const;

    friend bool operator==(const configuration& left, const configuration& right) {
        return left.version_number == right.version_number && left.objects() == right.objects();
    }

  private:
    // Snapshots share the views: a change replaces only the views that depend on the changed fields.
    struct changed_parts;
    result<done> rebuild(const changed_parts& changed);
    [[nodiscard]] const object_fields* fields_of(object_kind kind, const std::string& name) const;

    std::uint64_t version_number{0};
    std::shared_ptr<const object_table> all_objects;
    std::shared_ptr<const workspace_view> workspaces;
    std::shared_ptr<const application_view> applications;
    std::shared_ptr<const endpoint_view> endpoint_set;
    std::shared_ptr<const selector_view> selectors;
    std::shared_ptr<const reach_index> reach;
};

using configuration_ptr = std::shared_ptr<const configuration>;

} // namespace pomelohoist
