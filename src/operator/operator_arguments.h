#pragma once

#include <pomelohoist/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Command line of `pomelohoist`.
namespace pomelohoist {

/// Exit statuses of `pomelohoist`.
enum class operator_status : std::uint8_t {
    ok = 0,
    failed = 1, ///< failed, or not confirmed by all processes in time
    usage = 2,  ///< bad arguments or bad declarations
    conflict = 3,
    store_unavailable = 4,
    count
};

enum class output_format : std::uint8_t { table, json, count };

enum class operator_verb : std::uint8_t { apply, diff, label, get, status, explain, count };

inline constexpr std::chrono::seconds default_confirmation_timeout{10};

struct operator_command {
    operator_verb verb{operator_verb::count};
    std::vector<std::string> arguments; ///< files, or kind, name and labels
    bool dry_run{false};
    bool wait{false};
    bool prune{false};
    net_address platform;
    output_format format{output_format::table};
    std::chrono::milliseconds timeout{default_confirmation_timeout};

    friend bool operator==(const operator_command&, const operator_command&) = default;
};

/// A command to run, or the text to print and the exit status when there is no command to run.
struct parsed_command {
    std::optional<operator_command> command;
    operator_status status{operator_status::ok};
    std::string text;

    friend bool operator==(const parsed_command&, const parsed_command&) = default;
};

/// @param arguments arguments without the program's name
/// @param default_platform value of the environment variable POMELOHOIST_PLATFORM, may be empty
parsed_command parse_operator_arguments(const std::vector<std::string>& arguments, const std::string& default_platform);

} // namespace pomelohoist
