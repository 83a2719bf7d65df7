#pragma once

#include "direct/departure_log.h"
#include "direct/endpoint_list.h"
#include "direct/endpoint_reading.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Decides which endpoints a process uses, by the readings of the store that it knows.
namespace pomelohoist {

/// What happens to endpoints that the newest reading no longer lists.
enum class missing_endpoints : std::uint8_t {
    removed, ///< at once
    kept,    ///< for `config::endpoint_return_time`: the store was unavailable or restored shortly before
    count
};

/// Holds the newest reading, by this process or by another. A list is as new as the reading that it comes from: what a
/// process still knows of an older one does not become newer when that process reads again. Not thread-safe.
class known_endpoints {
  public:
    /// Uses a reading by this process. One that lists the same endpoints as the newest only confirms that.
    /// @returns false when a newer reading, or this one, is known already
    bool read(endpoint_list listed, missing_endpoints missing, steady_time now);
    /// Uses what another process has sent, if its reading is newer. An endpoint that the sender keeps is disregarded if
    /// it is missing here by a reading that is newer than the last one that listed it.
    /// @param asked_at time before the other process sent it; what is left of its durations counts from then
    /// @returns false when a newer reading, or this one, is known already
    bool merge(const endpoint_reading& reported, steady_time asked_at, steady_time now);
    /// Gives the endpoints the revision of the newest reading that has confirmed them.
    /// @returns false when they have it already
    bool adopt_confirmed_revision();
    /// Called when this process learns that the store has been restored from an older copy.
    /// @param until end of the time in which registrations of endpoints that had left are disregarded
    void begin_hold(steady_time now, steady_time until) { this->departures.begin_hold(now, until); }
    /// Removes kept endpoints whose time has passed, and ends a hold.
    /// @returns true when the endpoints in use have changed
    bool apply_due_changes(steady_time now);

    [[nodiscard]] bool has_reading() const { return this->listed.has_value(); }
    /// @returns revision of the newest reading that lists these endpoints; 0 before the first reading
    [[nodiscard]] std::uint64_t confirmed_revision() const { return this->confirmed; }
    [[nodiscard]] std::optional<steady_time> last_restore() const { return this->departures.last_restore(); }
    /// @returns the endpoints in use
    [[nodiscard]] const endpoint_list& used() const { return this->in_use; }
    /// @returns number of endpoints in use that the newest reading does not list
    [[nodiscard]] std::size_t kept_count() const { return this->kept.size(); }
    /// @returns number of endpoints that the store lists as ready although they had left
    [[nodiscard]] std::size_t departed() const { return this->departed_count; }
    [[nodiscard]] endpoint_reading report(steady_time now) const;

  private:
    struct kept_state {
        endpoint_record endpoint;
        std::uint64_t listed_at{0};
        steady_time until;

        friend bool operator==(const kept_state&, const kept_state&) = default;
    };
    using kept_endpoints = std::map<endpoint_incarnation, kept_state>;

    /// Requires a reading.
    /// @returns what this process knows of an endpoint that it lists or keeps
    [[nodiscard]] std::optional<kept_state> find(const endpoint_incarnation& incarnation) const;
    void replace(endpoint_list next, kept_endpoints still_kept, steady_time now);
    /// Recalculates the endpoints in use.
    void refresh(steady_time now);

    std::optional<endpoint_list> listed; ///< as in the newest reading
    std::uint64_t confirmed{0};
    kept_endpoints kept;
    departure_log departures;
    bool is_holding{false};
    endpoint_list in_use;
    std::size_t departed_count{0};
};

} // namespace pomelohoist
