#pragma once

#include "operator/operator_arguments.h"

#include <pomelohoist/error.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

/// Output of a command, as a table or as JSON.
namespace pomelohoist {

/// Rows with the same columns. The table format prints a cell that is a JSON object as KEY=VALUE pairs.
struct output_table {
    std::string name; ///< key in the JSON output
    std::vector<std::string> columns;
    std::vector<std::vector<nlohmann::json>> rows;

    friend bool operator==(const output_table&, const output_table&) = default;
};

/// Result of a command.
struct command_report {
    operator_status status{operator_status::ok};
    std::optional<std::uint64_t> version; ///< configuration version that the command read or committed
    std::string summary;
    std::vector<output_table> tables;
    std::optional<failure> error;

    friend bool operator==(const command_report&, const command_report&) = default;
};

/// @returns the text for standard output; only the JSON format includes `error`
std::string render_report(const command_report& report, output_format format);

} // namespace pomelohoist
