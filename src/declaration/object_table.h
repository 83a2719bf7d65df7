#pragma once

#include "declaration/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

/// The declared objects of one snapshot, shared with earlier snapshots except for what changed since.
namespace pomelohoist {

/// @attention reading is safe for several threads; `modify` and `erase` are for a table of `begin_change` that no one
/// has read with `all` yet
class object_table {
  public:
    object_table();
    explicit object_table(object_map content);

    /// @returns the fields, or null
    [[nodiscard]] const object_fields* find(const object_key& key) const;
    /// Calls the visitor for each object of the kind, by name ascending.
    void for_each(object_kind kind,
                  const std::function<void(const std::string& name, const object_fields& fields)>& visitor) const;
    /// @returns all objects; the first call on a changed table copies them
    [[nodiscard]] const object_map& all() const;

    /// @returns a table with the same objects, to be changed
    [[nodiscard]] object_table begin_change() const;
    /// @returns the fields for change; an absent object is created without fields
    object_fields& modify(const object_key& key);
    void erase(const object_key& key);
    /// Ends a change. A large one becomes part of the shared objects.
    void end_change();

  private:
    using change_map = std::map<object_key, std::optional<object_fields>>;

    /// Base and changes in one map, made when asked for.
    struct merged_objects {
        std::mutex mutex;
        std::shared_ptr<const object_map> content;
    };

    [[nodiscard]] object_map merge() const;

    std::shared_ptr<const object_map> base;
    change_map changes; ///< nothing for an object that was removed
    std::shared_ptr<merged_objects> merged;
};

} // namespace pomelohoist
