#pragma once

#include "replay/policy_run.h"

#include <string>
#include <vector>

/// Output of a replay.
namespace pomelohoist {

/// @returns a table with one line for each policy
std::string render_table(const std::vector<policy_result>& results);

/// @returns an SVG plot: skew over the steps, and below it the sum of moves
std::string render_plot(const std::vector<policy_result>& results);

/// Writes summary.csv, steps.csv and skew.svg.
/// @param folder is made when it does not exist
/// @returns done, or the file that could not be written
result<done> write_report(const std::vector<policy_result>& results, const std::string& folder);

} // namespace pomelohoist
