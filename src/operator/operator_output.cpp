#include "operator/operator_output.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace pomelohoist {

namespace {

using ordered_json = nlohmann::ordered_json;

std::string cell_text(const nlohmann::json& cell) {
    if (cell.is_string()) {
        return cell.get<std::string>();
    }
    if (cell.is_null()) {
        return "-";
    }
    if (!cell.is_object()) {
        return cell.dump();
    }
    std::string text;
    for (const auto& [key, value] : cell.items()) {
        text += text.empty() ? "" : " ";
        text += key + "=" + cell_text(value);
    }
    return text;
}

std::string render_table(const output_table& table) {
    std::vector<std::vector<std::string>> lines{table.columns};
    for (const std::vector<nlohmann::json>& row : table.rows) {
        std::vector<std::string>& line = lines.emplace_back();
        std::transform(row.begin(), row.end(), std::back_inserter(line), cell_text);
    }
    std::vector<std::size_t> widths(table.columns.size(), 0);
    for (const std::vector<std::string>& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::ostringstream text;
    for (const std::vector<std::string>& line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i) {
            text << std::left << std::setw(static_cast<int>(widths[i])) << line[i] << "  ";
        }
        text << line.back() << '\n';
    }
    return text.str();
}

std::string render_json(const command_report& report) {
    ordered_json json;
    json["status"] = static_cast<int>(report.status);
    if (report.version) {
        json["version"] = *report.version;
    }
    if (!report.summary.empty()) {
        json["summary"] = report.summary;
    }
    for (const output_table& table : report.tables) {
        ordered_json rows = ordered_json::array();
        for (const std::vector<nlohmann::json>& row : table.rows) {
            ordered_json object;
            for (std::size_t i = 0; i < row.size(); ++i) {
                object[table.columns[i]] = row[i];
            }
            rows.push_back(std::move(object));
        }
        json[table.name] = std::move(rows);
    }
    if (report.error) {
        json["error"] = {{"kind", std::string{error_info_of(report.error->kind).name}},
                         {"message", report.error->reason}};
    }
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

} // namespace

std::string render_report(const command_report& report, output_format format) {
    if (format == output_format::json) {
        return render_json(report);
    }
    std::string text;
    for (const output_table& table : report.tables) {
        if (!table.rows.empty()) {
            text += render_table(table);
        }
    }
    if (!report.summary.empty()) {
        text += report.summary + "\n";
    }
    return text;
}

} // namespace pomelohoist
