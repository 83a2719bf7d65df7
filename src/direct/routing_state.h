#pragma once

#include "common/log.h"
#include "direct/endpoint_list.h"
#include "direct/routing_table.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

/// The declarations and the endpoint list that are in force in this process.
namespace pomelohoist {

/// What one request is decided on. Both parts are null until the process knows them.
struct routing_snapshot {
    std::shared_ptr<const routing_table> routing;
    std::shared_ptr<const endpoint_list> endpoints;
};

/// Safe for several threads. Takes only newer versions, so that nothing that was in force is ever undone.
class routing_state {
  public:
    routing_state(const clock& time_source, structured_log& process_log) : time(time_source), log(process_log) {}

    [[nodiscard]] routing_snapshot current() const;
    /// @returns false when the same or a newer version is in force
    bool take_routing(routing_content content);
    /// @returns false when the same or a newer list is in force
    bool take_endpoints(endpoint_list list);

    /// Notes that the store was read, by this process or by another one.
    /// @param age time since that read
    void note_store_read(std::chrono::milliseconds age);
    /// @returns time since the newest known read of the store, or nothing before the first
    [[nodiscard]] std::optional<std::chrono::milliseconds> store_age() const;

  private:
    const clock& time;
    structured_log& log;
    mutable std::mutex mutex;
    routing_snapshot content;
    std::optional<steady_time> store_read_at;
};

} // namespace pomelohoist
