#pragma once

#include <string>
#include <vector>

/// Reader of INI files (Boost.PropertyTree) that reports all errors of a file at once.
namespace pomelohoist {

struct ini_entry {
    std::string key;
    std::string value;

    friend bool operator==(const ini_entry&, const ini_entry&) = default;
};

struct ini_section {
    std::string name;
    std::vector<ini_entry> entries;

    friend bool operator==(const ini_section&, const ini_section&) = default;
};

/// Sections in the order of the file, and one line for each syntax error or duplicate.
struct ini_content {
    std::vector<ini_section> sections;
    std::vector<std::string> errors;
    bool is_unreadable{false}; ///< the file could not be opened

    friend bool operator==(const ini_content&, const ini_content&) = default;
};

/// Reads a file. Lines that start with ';' or '#' are comments; a value extends to the end of its line.
/// @param file path, also used in the error lines
ini_content read_ini_file(const std::string& file);

/// Parses text.
/// @param file path for the error lines
ini_content parse_ini(const std::string& file, const std::string& text);

/// @returns "FILE: [SECTION] KEY: REASON"
std::string ini_error(const std::string& file, const std::string& section, const std::string& key,
                      const std::string& reason);

} // namespace pomelohoist
