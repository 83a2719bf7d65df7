#pragma once

#include "declaration/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

/// The declared objects of one snapshot. Objects that did not change are shared with earlier snapshots.
namespace pomelohoist {

/// @attention concurrent reads are safe; `modify` and `erase` may only be called on a table returned by `begin_change`
/// and before the first call of `all` on it
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

    /// @returns a modifiable table with the same objects
    [[nodiscard]] object_table begin_change() const;
    /// @returns the modifiable fields; an absent object is created without fields
    object_fields& modify(const object_key& key);
    void erase(const object_key& key);
    /// Ends a change. A large change is merged into a new base.
    void end_change();

  private:
    using change_map = std::map<object_key, std::optional<object_fields>>;

    /// Base and changes merged into one map, built by the first call of `all`.
    struct merged_objects {
        std::mutex mutex;
        std::shared_ptr<const object_map> content;
    };

    [[nodiscard]] object_map merge() const;

    std::shared_ptr<const object_map> base;
    change_map changes; ///< changes since `base`; `std::nullopt` marks a removed object
    std::shared_ptr<merged_objects> merged;
};

} // namespace pomelohoist
