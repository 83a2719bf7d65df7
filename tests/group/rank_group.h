#pragma once

#include "inner/switch_messages.h"
#include "support/deployment.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// A lock-step group of processes: platform, rank stand-ins and their agents.
namespace pomelohoist::test_group {

/// Summary of the journals of all ranks.
struct journal_report {
    std::uint64_t common_steps{0};   ///< steps that every rank has started
    std::uint64_t maps{0};           ///< number of different maps that steps ran with
    inner::map_id last_map;          ///< map of the latest step
    std::vector<std::string> faults; ///< steps with two maps, and steps that a rank repeated or skipped
};

class rank_group {
  public:
    rank_group(std::uint32_t number_of_ranks, const std::string& work_folder);

    /// @returns rank of the lease holder according to the store, or nothing
    std::optional<std::uint32_t> find_coordinator();
    /// @returns epoch of the lease in the store, 0 when it cannot be read
    std::uint64_t lease_epoch();
    test_support::running_program& agent(std::uint32_t rank);
    void restart_agent(std::uint32_t rank);
    void set_store_down(bool down);

    [[nodiscard]] journal_report read_journals() const;
    /// Waits until every rank has started `more` further steps.
    /// @returns false on a timeout
    bool run_steps(std::uint64_t more);
    /// Waits until steps have run with `more` further maps.
    /// @returns false on a timeout
    bool run_maps(std::uint64_t more);

    std::vector<std::string> stop() { return this->processes.stop_all(); }

  private:
    template <class Condition> bool wait_until(const Condition& condition) const;

    std::uint32_t ranks;
    test_support::deployment processes;
};

} // namespace pomelohoist::test_group
