#include "docs/page.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace pomelohoist::docs {

namespace {

std::vector<std::string> split_cells(const std::string& line) {
    std::vector<std::string> cells;
    std::string cell;
    for (std::size_t i = 1; i < line.size(); ++i) {
        const bool is_end = line[i] == '|' && line[i - 1] != '\\';
        if (!is_end) {
            cell += line[i];
            continue;
        }
        const auto begin = cell.find_first_not_of(' ');
        cells.push_back(begin == std::string::npos ? "" : cell.substr(begin, cell.find_last_not_of(' ') - begin + 1));
        cell.clear();
    }
    return cells;
}

std::vector<std::string> lines_of(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream stream{text};
    std::string line;
    while (std::getline(stream, line)) {
        lines.push_back(line);
    }
    return lines;
}

/// @returns the tables, each with its rows
std::vector<std::vector<table_row>> tables_of(const std::string& text) {
    std::vector<std::vector<table_row>> tables;
    bool in_table = false;
    for (const std::string& line : lines_of(text)) {
        if (!line.starts_with('|')) {
            in_table = false;
        } else if (!in_table) {
            in_table = true;
            tables.emplace_back();
        } else if (!line.starts_with("|---")) {
            tables.back().push_back({split_cells(line)});
        }
    }
    return tables;
}

} // namespace

std::string read_text(const std::string& file) {
    std::ifstream stream{file};
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string section_of_page(const std::string& page, const std::string& heading) {
    const std::size_t begin = page.find("\n" + heading + "\n");
    if (begin == std::string::npos) {
        return "";
    }
    const std::string level = heading.substr(0, heading.find(' '));
    return page.substr(begin, page.find("\n" + level + " ", begin + 1) - begin);
}

std::vector<table_row> table_rows(const std::string& text) {
    std::vector<table_row> rows;
    for (const std::vector<table_row>& table : tables_of(text)) {
        rows.insert(rows.end(), table.begin(), table.end());
    }
    return rows;
}

std::vector<table_row> first_table(const std::string& text) {
    const std::vector<std::vector<table_row>> tables = tables_of(text);
    return tables.empty() ? std::vector<table_row>{} : tables.front();
}

std::vector<std::string> ini_blocks(const std::string& page) {
    std::vector<std::string> blocks;
    bool in_block = false;
    for (const std::string& line : lines_of(page)) {
        if (line == "```ini") {
            in_block = true;
            blocks.emplace_back();
        } else if (line == "```") {
            in_block = false;
        } else if (in_block) {
            blocks.back() += line + "\n";
        }
    }
    return blocks;
}

std::set<std::string> all_matches(const std::string& text, const std::string& pattern) {
    const std::regex expression{pattern};
    std::set<std::string> found;
    for (std::sregex_iterator match{text.begin(), text.end(), expression}; match != std::sregex_iterator{}; ++match) {
        found.insert((*match)[1]);
    }
    return found;
}

std::set<std::string> source_matches(const std::string& pattern) {
    std::set<std::string> found;
    for (const std::string& folder : {std::string{"/src"}, std::string{"/programs"}, std::string{"/platform"}}) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator{POMELOHOIST_SOURCE_DIR + folder}) {
            if (entry.path().extension() == ".cpp") {
                found.merge(all_matches(read_text(entry.path().string()), pattern));
            }
        }
    }
    return found;
}

} // namespace pomelohoist::docs
