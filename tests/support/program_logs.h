#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// The logs of programs that tests start.
namespace pomelohoist::test_support {

/// Called when a program is started whose log is appended to the file. Thread-safe.
void add_program_log(const std::string& file);
/// Forgets all files that were added, as a test begins.
void forget_program_logs();
/// @returns the files that were added since, each once, in the order of their start
std::vector<std::string> program_logs();

/// @returns the last lines of the file after a line with its name; the name only when the file is empty or gone
std::string quote_log_end(const std::string& file, std::size_t max_lines);

} // namespace pomelohoist::test_support
