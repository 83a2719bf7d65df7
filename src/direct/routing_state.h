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

/// The routing declaration and the endpoint list that this process uses.
namespace pomelohoist {

/// Immutable copy, with which one request is resolved. Each part is null until the process has received it.
struct routing_snapshot {
    std::shared_ptr<const routing_table> routing;
    std::shared_ptr<const endpoint_list> endpoints;
};

/// Applies only newer versions, so that a late reader or a slow peer cannot replace the current version by an older
/// version. Thread-safe.
class routing_state {
  public:
    routing_state(const clock& time_source, structured_log& process_log) : time(time_source), log(process_log) {}

    [[nodiscard]] routing_snapshot current() const;
    /// @returns false when the same or a newer version is already in use
    bool apply_routing(routing_content content);
    /// @returns false when the same or a newer list is already in use
    bool apply_endpoints(endpoint_list list);

    /// Records that the store was read, by this process or by a peer.
    /// @param age time since that read
    void record_store_read(std::chrono::milliseconds age);
    /// @returns time since the newest recorded read of the store, or nothing before the first read
    [[nodiscard]] std::optional<std::chrono::milliseconds> store_age() const;

  private:
    const clock& time;
    structured_log& log;
    mutable std::mutex mutex;
    routing_snapshot content;
    std::optional<steady_time> store_read_at;
};

} // namespace pomelohoist
