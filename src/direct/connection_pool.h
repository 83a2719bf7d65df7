#pragma once

#include "direct/endpoint_connection.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>
#include <pomelohoist/types.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Idle connections to endpoints, kept for the next request. Safe for several threads.
namespace pomelohoist {

class connection_pool {
  public:
    explicit connection_pool(const clock& time_source) : time(time_source) {}

    /// @returns an idle connection that is still sound, or null
    std::unique_ptr<endpoint_connection> take(const std::string& instance);
    void keep(const std::string& instance, std::unique_ptr<endpoint_connection> connection);
    /// Closes the connections of endpoints that are not in `instances`.
    void keep_only(const std::vector<std::string>& instances);

  private:
    const clock& time;
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<endpoint_connection>>> idle;
};

} // namespace pomelohoist
