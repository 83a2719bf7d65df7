#pragma once

#include "group/group_coordinator.h"
#include "group/group_directory.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

/// Recent measurements of the own rank and, for a coordinator, the measurements of all ranks.
namespace pomelohoist {

/// Keeps the last `config::kept_step_reports` reports of the own rank. Thread-safe.
class step_reports : public step_measurements {
  public:
    /// @attention the directory must outlive the reports
    step_reports(group_position own_position, std::string own_process, const group_directory& agent_directory);

    void add(const inner::step_report& report);
    /// @returns the report of the step; `time_ms` is 0 when the report is not available
    [[nodiscard]] inner::step_report find(std::uint64_t step) const;
    std::vector<inner::step_report> latest() override;

  private:
    group_position position;
    std::string process_name;
    const group_directory& directory;
    mutable std::mutex mutex;
    std::deque<inner::step_report> recent; ///< ascending by step
};

} // namespace pomelohoist
