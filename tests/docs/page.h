#pragma once

#include <set>
#include <string>
#include <vector>

/// Reads Markdown pages and extracts names from the sources.
namespace pomelohoist::docs {

/// One row of a Markdown table; header and delimiter rows are left out. `\|` within a cell is kept.
struct table_row {
    std::vector<std::string> cells;

    friend bool operator==(const table_row&, const table_row&) = default;
};

std::string read_text(const std::string& file);

/// @param heading complete line, as in "## Settings"
/// @returns the text up to the next heading of the same or a higher level; empty when there is no such heading
std::string section_of_page(const std::string& page, const std::string& heading);

/// @returns the rows of all tables
std::vector<table_row> table_rows(const std::string& text);
/// @returns the rows of the first table
std::vector<table_row> first_table(const std::string& text);

/// @returns the contents of the fenced blocks that are marked as ini
std::vector<std::string> ini_blocks(const std::string& page);

/// @returns the first capture group of every match
std::set<std::string> all_matches(const std::string& text, const std::string& pattern);

/// @returns the first capture group of every match in the .cpp files of src/, programs/ and platform/
std::set<std::string> source_matches(const std::string& pattern);

} // namespace pomelohoist::docs
