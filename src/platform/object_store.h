#pragma once

#include <pomelohoist/error.h>

#include <optional>
#include <string>

/// The platform's object store.
namespace pomelohoist {

class object_store {
  public:
    virtual ~object_store() = default;
    /// @returns the object, an empty optional when it does not exist, or `store_unavailable`
    virtual result<std::optional<std::string>> get_object(const std::string& name) = 0;
    /// Creates or replaces an object.
    /// @returns done, or `store_unavailable`
    virtual result<done> put_object(const std::string& name, const std::string& content) = 0;
};

} // namespace pomelohoist
