#include "common/ini_file.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace pomelohoist {

namespace {

// Key that is added to each section, because the parser drops sections without keys.
const std::string section_marker = "\x01section";
// Prefix of the name that replaces a duplicate section header; the keys of such a section are ignored.
const std::string duplicate_marker = "\x01duplicate";

struct source_line {
    std::size_t number{0}; ///< line number in the file, from 1
    std::string text;
    std::string section; ///< section that contains the line; for a section header, the section that the header starts
};

std::string trimmed(const std::string& text) {
    const auto begin = text.find_first_not_of(" \t\r");
    if (begin == std::string::npos) {
        return "";
    }
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

std::vector<source_line> split_lines(const std::string& text) {
    std::vector<source_line> lines;
    std::istringstream stream{text};
    std::string line;
    std::string section;
    for (std::size_t number = 1; std::getline(stream, line); ++number) {
        const std::string content = trimmed(line);
        const bool is_header = content.starts_with('[');
        if (is_header) {
            section = trimmed(content.substr(1, content.find(']') - 1));
        }
        lines.push_back({number, content, section});
        if (is_header) {
            lines.push_back({number, section_marker + "=", section});
        }
    }
    return lines;
}

std::string join_lines(const std::vector<source_line>& lines) {
    std::string text;
    for (const source_line& line : lines) {
        text += line.text;
        text += '\n';
    }
    return text;
}

std::vector<ini_section> to_sections(const boost::property_tree::ptree& tree) {
    std::vector<ini_section> sections;
    for (const auto& [name, node] : tree) {
        if (name.starts_with(duplicate_marker)) {
            continue;
        }
        ini_section section{name, {}};
        for (const auto& [key, value] : node) {
            if (key != section_marker) {
                section.entries.push_back({key, value.data()});
            }
        }
        sections.push_back(std::move(section));
    }
    return sections;
}

std::string describe(const std::string& file, const source_line& line, const std::string& message) {
    const bool is_header = line.text.starts_with('[');
    const std::string key = is_header ? "" : trimmed(line.text.substr(0, line.text.find('=')));
    std::string reason = message + " (line " + std::to_string(line.number) + "); ";
    if (message.find("duplicate") != std::string::npos) {
        reason += is_header ? "a section may appear once in a file" : "a key may appear once in a section";
    } else {
        reason += "allowed are [SECTION], KEY = VALUE, and comments that start with ; or #";
    }
    return ini_error(file, line.section, key, reason);
}

// Replaces the line at which the parser stopped, so that the rest of the file can be parsed.
void blank_line(source_line& line) {
    if (line.text.starts_with('[')) {
        line.text = "[" + duplicate_marker + std::to_string(line.number) + "]";
    } else {
        line.text.clear();
    }
}

// Reports and clears text before the first section, because the parser would read a key there as an empty section.
void remove_unsectioned(const std::string& file, std::vector<source_line>& lines, ini_content& content) {
    for (source_line& line : lines) {
        if (line.text.starts_with('[')) {
            return;
        }
        if (!line.text.empty() && !line.text.starts_with(';') && !line.text.starts_with('#')) {
            content.errors.push_back(describe(file, line, "text before the first section"));
            line.text.clear();
        }
    }
}

} // namespace

std::string ini_error(const std::string& file, const std::string& section, const std::string& key,
                      const std::string& reason) {
    std::string line = file + ":";
    if (!section.empty()) {
        line += " [" + section + "]";
    }
    if (!key.empty()) {
        line += " " + key + ":";
    }
    return line + " " + reason;
}

ini_content parse_ini(const std::string& file, const std::string& text) {
    ini_content content;
    std::vector<source_line> lines = split_lines(text);
    remove_unsectioned(file, lines, content);
    // Each round replaces one line that the parser rejects, so the loop ends.
    for (std::size_t round = 0; round <= lines.size(); ++round) {
        std::istringstream stream{join_lines(lines)};
        boost::property_tree::ptree tree;
        try {
            boost::property_tree::read_ini(stream, tree);
        } catch (const boost::property_tree::ini_parser_error& error) {
            const std::size_t index = error.line() - 1;
            if (index >= lines.size()) {
                content.errors.push_back(ini_error(file, "", "", error.message()));
                return content;
            }
            content.errors.push_back(describe(file, lines[index], error.message()));
            blank_line(lines[index]);
            continue;
        }
        content.sections = to_sections(tree);
        return content;
    }
    return content;
}

ini_content read_ini_file(const std::string& file) {
    std::error_code code;
    const bool is_folder = std::filesystem::is_directory(file, code);
    std::ifstream stream{file};
    if (is_folder || !stream) {
        return {{}, {ini_error(file, "", "", "cannot be read; allowed is a readable INI file")}, true};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse_ini(file, text.str());
}

} // namespace pomelohoist
