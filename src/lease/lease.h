#pragma once

#include "platform/table_service.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

/// Leases on rows of the table service, with epochs that serve as fencing tokens.
namespace pomelohoist {

/// Content of the row `lease/GROUP`.
struct lease_row {
    std::string holder;
    std::uint64_t epoch{0};
    std::uint64_t renewal{0}; ///< grows with each renewal of the holder, so that each one changes the row

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

/// Records the highest epoch that a process has received and refuses lower ones.
class fencing_gate {
  public:
    /// @returns true when the epoch is at least the highest so far; it then becomes the highest
    bool admit(std::uint64_t epoch);
    [[nodiscard]] std::uint64_t highest() const;

  private:
    mutable std::mutex mutex;
    std::uint64_t highest_epoch{0};
};

/// Acquires and renews one lease for this process.
/// @attention `try_hold` and `release` are called by one thread, `held_epoch` by any
///
/// Guarantees, while the monotonic clocks of all processes run at the same rate within `config::lease_margin` for each
/// `config::lease_lifetime`:
/// - at most one process has a `held_epoch` at any moment;
/// - each holder's epoch is higher than those of all earlier holders, also after a release.
/// Both hold over a restore of the store from an older copy too, as far as this process has read the epochs that the
/// copy lacks, or its gate has admitted them. A paused holder may send a command with an epoch that it read before the
/// pause. A receiver's `fencing_gate` refuses the command once it has admitted a higher epoch.
class lease {
  public:
    /// @param holder name of this process; two live processes must not share one
    /// @param admitted epochs that this process has received from other holders
    lease(table_service& rows, const clock& time_source, const fencing_gate& admitted, std::string group,
          std::string holder);

    /// Renews the lease, or acquires it when it is free or has not changed for one lifetime plus a margin.
    /// When the store fails, a held lease stays valid until it expires by this process's clock.
    /// @returns the epoch while this process holds the lease, or nothing
    std::optional<std::uint64_t> try_hold();

    /// @returns the epoch, if the lease is held and has not expired by this process's clock
    [[nodiscard]] std::optional<std::uint64_t> held_epoch() const;

    /// Releases the lease, so that another process can acquire it before it expires.
    void release();

  private:
    std::optional<std::uint64_t> write(const std::optional<table_row>& previous, const lease_row& next);
    bool is_written(const lease_row& next);
    bool is_own(const lease_row& content) const;
    /// @param row nothing when the row does not exist
    bool has_expired(const std::optional<table_row>& row);
    std::optional<std::uint64_t> try_hold_missing();

    table_service& table;
    const clock& time;
    const fencing_gate& gate;
    std::string key;
    std::string name;
    mutable std::mutex mutex;
    std::uint64_t own_epoch{0};
    std::uint64_t attempted_epoch{0}; ///< epoch of the last write, whose response may have been lost
    std::uint64_t last_renewal{0};    ///< number of the last renewal that this process has written
    std::uint64_t highest_epoch{0};   ///< highest one that this process knows of
    bool has_observed{false};
    std::optional<table_row> observed; ///< the row at the last call; nothing when it did not exist
    steady_time observed_since{};
    steady_time valid_until{};
};

} // namespace pomelohoist
