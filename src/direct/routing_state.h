#pragma once

#include "common/log.h"
#include "direct/endpoint_reading.h"
#include "direct/evacuation_list.h"
#include "direct/known_endpoints.h"
#include "direct/routing_table.h"

#include <pomelohoist/clock.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

/// The routing declaration, the endpoint list and the evacuations that this process uses.
namespace pomelohoist {

/// Versions of the parts of a snapshot; 0 for a part that the process does not have.
struct routing_versions {
    std::uint64_t routing{0};
    std::uint64_t endpoints{0};
    std::uint64_t evacuations{0};

    /// @returns true when at least one part is newer than the other's
    [[nodiscard]] bool has_newer_than(const routing_versions& other) const {
        return this->routing > other.routing || this->endpoints > other.endpoints ||
               this->evacuations > other.evacuations;
    }
    template <class Archive> void serialize(Archive& archive) {
        archive(this->routing, this->endpoints, this->evacuations);
    }
    friend bool operator==(const routing_versions&, const routing_versions&) = default;
};

/// Immutable copy, with which one request is resolved. Each part is null until the process has received it.
struct routing_snapshot {
    std::shared_ptr<const routing_table> routing;
    std::shared_ptr<const endpoint_list> endpoints;
    std::shared_ptr<const evacuation_list> evacuations; ///< also null while there has never been an evacuation

    [[nodiscard]] routing_versions versions() const;
    [[nodiscard]] bool is_evacuated(const std::string& data_centre) const {
        return this->evacuations && this->evacuations->contains(data_centre);
    }
};

/// Applies only newer versions, so that a late reader or a slow peer cannot replace the current version by an older
/// version. Thread-safe.
class routing_state {
  public:
    routing_state(const clock& time_source, structured_log& process_log) : time(time_source), log(process_log) {}

    [[nodiscard]] routing_snapshot current() const;
    /// @returns false when the same or a newer version is already in use
    bool apply_routing(routing_content content);
    /// Uses a reading of the store by this process; see `known_endpoints::read`. A list of a new era of the store comes
    /// from an older copy: endpoints that had left before are not used again.
    /// @returns false when the same or a newer reading is already in use
    bool apply_endpoints(endpoint_list list, missing_endpoints missing = missing_endpoints::removed);
    /// Uses what another process has sent; see `known_endpoints::merge`.
    /// @param asked_at time before the other process sent it
    /// @returns false when the same or a newer reading is already in use
    bool merge_endpoints(const endpoint_reading& reported, steady_time asked_at);
    /// @returns what this process knows of the endpoints, for other processes; nothing before the first reading
    [[nodiscard]] std::optional<endpoint_reading> endpoint_report() const;
    /// @returns false when the same or a newer list is already in use
    bool apply_evacuations(evacuation_list list);
    /// Uses a reading of the store by this process. A list with the content of the list in use only confirms that, and
    /// one without any evacuation is needed only in place of another list.
    void read_evacuations(evacuation_list list);
    /// @returns the versions that are older than all that this process would apply
    [[nodiscard]] routing_versions confirmed_versions() const;
    /// Called when another process has a list that is older than the newest reading of this process but has a higher
    /// revision than the list in use: gives the lists in use the revisions of the readings that have confirmed them.
    void adopt_confirmed_versions();
    /// Called with the era of each response of the store. A higher era than before means that the store was restored.
    void observe_era(std::uint64_t era);
    /// @returns when this process learned of the last restore of the store, if any
    [[nodiscard]] std::optional<steady_time> last_restore() const;
    /// Removes endpoints that were kept for some time only, and uses those that were left out after a restore of the
    /// store once they are known to be still registered; called from time to time.
    void apply_due_changes();

    /// Records that the store was read, by this process or by a peer.
    /// @param age time since that read
    void record_store_read(std::chrono::milliseconds age);
    /// @returns time since the newest recorded read of the store, or nothing before the first read
    [[nodiscard]] std::optional<std::chrono::milliseconds> store_age() const;

  private:
    /// @param hold_until end of the hold if the store was restored
    /// @returns true when the store was restored; requires the mutex
    bool record_era(std::uint64_t era, steady_time hold_until);
    /// The endpoints of new snapshots, and what the log says about them.
    struct published_endpoints {
        std::shared_ptr<const endpoint_list> list;
        std::size_t kept{0};
        std::size_t departed{0};
    };

    /// Uses the known endpoints in new snapshots; requires the mutex.
    published_endpoints publish_endpoints();
    void log_endpoints(const published_endpoints& published);
    void log_evacuations(const evacuation_list& previous, const evacuation_list& next);

    const clock& time;
    structured_log& log;
    mutable std::mutex mutex;
    routing_snapshot content;
    std::optional<std::uint64_t> store_era;
    known_endpoints endpoints;
    std::uint64_t confirmed_evacuations{0}; ///< revision of the newest list with the content of the list in use
    std::optional<steady_time> store_read_at;
};

} // namespace pomelohoist
