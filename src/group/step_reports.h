#pragma once

#include "group/group_coordinator.h"
#include "group/group_directory.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

/// The last measurements of the own rank, and for a coordinator those of all ranks.
namespace pomelohoist {

/// Safe for several threads.
class step_reports : public step_measurements {
  public:
    /// @attention the directory must outlive the reports
    step_reports(group_place own_place, std::string process, const group_directory& known_ranks);

    void add(const inner::step_report& report);
    /// @returns the report of the step; with `time_ms` 0 when it is not kept
    [[nodiscard]] inner::step_report find(std::uint64_t step) const;
    std::vector<inner::step_report> latest() override;

  private:
    group_place place;
    std::string process_name;
    const group_directory& directory;
    mutable std::mutex mutex;
    std::deque<inner::step_report> kept; ///< ascending by step
};

} // namespace pomelohoist
