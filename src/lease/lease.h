#pragma once

#include "platform/table_service.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/error.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

/// Leases on rows of the table service, with epochs that serve as fencing numbers.
namespace pomelohoist {

/// Content of the row `lease/GROUP`.
struct lease_row {
    std::string holder;
    std::uint64_t epoch{0};
    std::uint64_t renewal{0}; ///< counts renewals, so that each one changes the row

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

/// One process's view of one lease. Called periodically by one thread.
class lease {
  public:
    lease(table_service& rows, const clock& time_source, std::string group, std::string holder);

    /// Renews the lease, or acquires it when it has expired.
    /// @returns the epoch while this process holds the lease, or nothing
    std::optional<std::uint64_t> try_hold();

    /// @returns the epoch, if by this process's clock the lease has not expired yet
    [[nodiscard]] std::optional<std::uint64_t> held_epoch() const;

    /// Gives the lease up, so that another process need not wait.
    void release();

  private:
    std::optional<std::uint64_t> write(const std::optional<table_row>& previous, const lease_row& next);

    table_service& table;
    const clock& time;
    std::string key;
    std::string name;
    mutable std::mutex mutex;
    std::uint64_t own_epoch{0};
    std::uint64_t observed_revision{0};
    steady_time observed_since{};
    steady_time valid_until{};
};

/// The highest epoch that an agent has seen; refuses lower ones.
class fencing_gate {
  public:
    /// @returns true when the epoch is at least the highest seen, which it becomes
    bool admit(std::uint64_t epoch);
    [[nodiscard]] std::uint64_t highest() const;

  private:
    mutable std::mutex mutex;
    std::uint64_t highest_epoch{0};
};

} // namespace pomelohoist
