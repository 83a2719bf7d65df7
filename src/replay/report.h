#pragma once

#include "replay/policy_run.h"

#include <string>
#include <vector>

/// Tables and plots of the results of a replay.
namespace pomelohoist {

/// @returns a table with one line for each policy
std::string render_table(const std::vector<policy_result>& results);

/// @returns an SVG plot of the skew of each step, and below it of the cumulative number of moves
std::string render_plot(const std::vector<policy_result>& results);

/// Writes summary.csv, steps.csv and skew.svg.
/// @param folder is created when it does not exist
/// @returns done, or `internal` with the name of the file that could not be written
result<done> write_report(const std::vector<policy_result>& results, const std::string& folder);

} // namespace pomelohoist
