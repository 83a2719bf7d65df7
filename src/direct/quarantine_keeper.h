#pragma once

#include "common/metrics.h"
#include "direct/control_store.h"
#include "direct/crash_quarantine.h"

#include <pomelohoist/clock.h>

#include <map>

/// Persists quarantines in the platform's store: they remain in force when all entries restart at once.
namespace pomelohoist {

/// @attention used by one thread, that of the control store
class quarantine_keeper {
  public:
    /// @param store_calls counts the calls to the store
    quarantine_keeper(control_store& platform, crash_quarantine& known_crashes, const clock& time_source,
                      counter& store_calls)
        : store(platform), crashes(known_crashes), time(time_source), calls(store_calls) {}

    /// Adopts the stored quarantines that are in force.
    result<done> load();
    /// Writes new quarantines and removes expired or lifted ones; calls the store only when there are any.
    result<done> save();

  private:
    result<done> store_new(const std::map<request_trait, stored_quarantine>& current);
    result<done> remove_ended(const std::map<request_trait, stored_quarantine>& current);

    control_store& store;
    crash_quarantine& crashes;
    const clock& time;
    counter& calls;
    std::map<request_trait, stored_quarantine> stored;
};

} // namespace pomelohoist
