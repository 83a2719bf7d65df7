#pragma once

#include "http/http_connection.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Pool of idle connections to endpoints. Thread-safe.
namespace pomelohoist {

class connection_pool {
  public:
    explicit connection_pool(const clock& time_source) : time(time_source) {}

    /// @returns an idle connection that is still usable, or null
    std::unique_ptr<http_connection> acquire(const std::string& instance);
    void release(const std::string& instance, std::unique_ptr<http_connection> connection);
    /// Closes the idle connections to endpoints that are not in `instances`.
    void retain_only(const std::vector<std::string>& instances);

  private:
    [[nodiscard]] bool has_expired(const http_connection& connection) const;

    const clock& time;
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<http_connection>>> idle;
};

} // namespace pomelohoist
