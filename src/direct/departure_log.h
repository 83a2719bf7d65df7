#pragma once

#include "direct/endpoint_list.h"
#include "direct/endpoint_reading.h"

#include <pomelohoist/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Endpoints that have left, so that a store restored from an older copy does not bring them back.
namespace pomelohoist {

/// Load: endpoints join and leave all the time, and the copy is some seconds older than the lists in use. After a
/// restore the copy's registrations of endpoints that had left are disregarded for
/// `config::restored_registration_time`.
class departure_log {
  public:
    /// Records the endpoints of the previous list that the next one does not contain or marks as leaving.
    void record(const std::vector<endpoint_record>& previous, const std::vector<endpoint_record>& next,
                steady_time now);
    /// Called when this process learns that the store has been restored.
    /// @param until end of the hold
    void begin_hold(steady_time now, steady_time until);
    /// Adopts the hold of another process. Disregarded when this process has learned of a restore itself: its own
    /// departures decide then.
    void adopt_hold(const std::vector<reported_departure>& departed, steady_time now, steady_time until);
    /// @returns the departures that take precedence over the store, or nothing
    [[nodiscard]] std::optional<reported_hold> hold(steady_time now) const;
    /// @returns when this process learned of the last restore, if any
    [[nodiscard]] std::optional<steady_time> last_restore() const { return this->restored_at; }
    /// @returns true while departures from before the restore take precedence over the store
    [[nodiscard]] bool is_holding(steady_time now) const;
    /// @returns the records without endpoints that had left before the restore; those that were leaving are marked so
    [[nodiscard]] std::vector<endpoint_record> without_departed(std::vector<endpoint_record> records) const;

  private:
    struct departure {
        steady_time at{};
        bool is_removed{false}; ///< false: is leaving

        friend bool operator==(const departure&, const departure&) = default;
    };

    [[nodiscard]] const departure* find_held(const endpoint_record& record) const;

    std::map<endpoint_incarnation, departure> departures;
    std::optional<steady_time> restored_at;
    steady_time held_before{}; ///< departures before this time take precedence during the hold
    std::optional<steady_time> held_until;
};

} // namespace pomelohoist
