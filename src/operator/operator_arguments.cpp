#include "operator/operator_arguments.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace pomelohoist {

namespace {

constexpr std::uint32_t max_timeout_s = 3600;

/// Name, number of arguments and usage line of a command.
struct verb_rule {
    std::string_view name;
    std::size_t min_arguments;
    std::size_t max_arguments;
    std::string_view usage;
};

constexpr std::size_t unlimited_arguments = 100000;

constexpr std::array<verb_rule, static_cast<std::size_t>(operator_verb::count)> rules{{
    {"apply", 1, unlimited_arguments, "apply FILE... [--dry-run] [--wait] [--prune]"},
    {"diff", 1, unlimited_arguments, "diff FILE... [--prune]"},
    {"label", 3, unlimited_arguments, "label KIND NAME KEY=VALUE... [--dry-run] [--wait]   (KEY- removes a label)"},
    {"get", 0, 2, "get [KIND [NAME]]"},
    {"status", 0, 0, "status"},
    {"explain", 2, 2, "explain WORKSPACE APPLICATION"},
}};

constexpr std::string_view exit_status_text = R"(
Exit status:
  0  done
  1  failed, or not confirmed by all processes in time
  2  bad arguments or bad declarations; nothing was changed
  3  conflict with a concurrent change; nothing was changed
  4  the platform's store is unavailable)";

cxxopts::Options make_options() {
    cxxopts::Options options{"pomelohoist", "Changes and shows the declarations of a cluster."};
    options.add_options()("platform", "address of the platform (default: POMELOHOIST_PLATFORM)",
                          cxxopts::value<std::string>(), "IP:PORT");
    options.add_options()("output", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT");
    options.add_options()("timeout", "time for --wait and status", cxxopts::value<std::uint32_t>()->default_value("10"),
                          "SECONDS");
    options.add_options()("dry-run", "show the changes and make none");
    options.add_options()("wait", "wait until every process has confirmed the change");
    options.add_options()("prune", "remove objects that the files do not declare");
    options.add_options()("version", "print the version");
    options.add_options()("help", "print this text");
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

std::string help_text() {
    std::string text = "Changes and shows the declarations of a cluster.\n\nCommands:\n";
    for (const verb_rule& rule : rules) {
        text += "  pomelohoist ";
        text += rule.usage;
        text += '\n';
    }
    text += R"(
KIND is workspace, application, endpoint or selector. Each apply or label is committed atomically as one version, or
changes nothing.

Options:
  --platform IP:PORT   address of the platform (default: POMELOHOIST_PLATFORM)
  --output FORMAT      table (default) or json
  --timeout SECONDS    time for --wait and status (default 10)
  --dry-run            show the changes and make none
  --wait               wait until every process has confirmed the change
  --prune              remove objects that the files do not declare
  --version            print the version
  --help               print this text
)";
    return text + std::string{exit_status_text};
}

parsed_command usage_error(const std::string& reason) {
    return {std::nullopt, operator_status::usage, "pomelohoist: " + reason + "; see pomelohoist --help"};
}

parsed_command check_positional(const std::vector<std::string>& positional, operator_command command) {
    if (positional.empty()) {
        return usage_error("a command is required: apply, diff, label, get, status or explain");
    }
    const auto* const rule = std::find_if(rules.begin(), rules.end(), [&positional](const verb_rule& candidate) {
        return candidate.name == positional.front();
    });
    if (rule == rules.end()) {
        return usage_error("unknown command \"" + positional.front() +
                           "\"; allowed are apply, diff, label, get, status, explain");
    }
    command.verb = static_cast<operator_verb>(std::distance(rules.begin(), rule));
    command.arguments.assign(positional.begin() + 1, positional.end());
    if (command.arguments.size() < rule->min_arguments || command.arguments.size() > rule->max_arguments) {
        return usage_error("usage: pomelohoist " + std::string{rule->usage});
    }
    const bool is_change = command.verb == operator_verb::apply || command.verb == operator_verb::label;
    const bool has_files = command.verb == operator_verb::apply || command.verb == operator_verb::diff;
    if ((!is_change && (command.dry_run || command.wait)) || (!has_files && command.prune)) {
        return usage_error("usage: pomelohoist " + std::string{rule->usage});
    }
    return {std::move(command), operator_status::ok, ""};
}

// Runs after the check of the command, so that a missing address does not hide a wrong command.
parsed_command check_options(const cxxopts::ParseResult& parsed, const std::string& default_platform,
                             operator_command command) {
    const std::string platform = parsed.count("platform") > 0 ? parsed["platform"].as<std::string>() : default_platform;
    const std::optional<net_address> address = net_address::parse(platform);
    if (!address || address->port == 0) {
        return usage_error("--platform or POMELOHOIST_PLATFORM is \"" + platform + "\"; allowed is IP:PORT");
    }
    command.platform = *address;
    const std::string format = parsed["output"].as<std::string>();
    if (format != "table" && format != "json") {
        return usage_error("--output is \"" + format + "\"; allowed are table, json");
    }
    command.format = format == "json" ? output_format::json : output_format::table;
    const std::uint32_t timeout_s = parsed["timeout"].as<std::uint32_t>();
    if (timeout_s == 0 || timeout_s > max_timeout_s) {
        return usage_error("--timeout is out of range; allowed are 1 to 3600 seconds");
    }
    command.timeout = std::chrono::seconds{timeout_s};
    return {std::move(command), operator_status::ok, ""};
}

parsed_command check_arguments(const cxxopts::ParseResult& parsed, const std::string& default_platform) {
    operator_command command;
    command.dry_run = parsed.count("dry-run") > 0;
    command.wait = parsed.count("wait") > 0;
    command.prune = parsed.count("prune") > 0;
    const bool has_positional = parsed.count("words") > 0;
    parsed_command checked =
        check_positional(has_positional ? parsed["words"].as<std::vector<std::string>>() : std::vector<std::string>{},
                         std::move(command));
    return checked.command ? check_options(parsed, default_platform, std::move(*checked.command)) : checked;
}

} // namespace

parsed_command parse_operator_arguments(const std::vector<std::string>& arguments,
                                        const std::string& default_platform) {
    std::vector<const char*> pointers{"pomelohoist"};
    pointers.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        cxxopts::Options options = make_options();
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") > 0) {
            return {std::nullopt, operator_status::ok, help_text()};
        }
        if (parsed.count("version") > 0) {
            return {std::nullopt, operator_status::ok, std::string{"pomelohoist "} + POMELOHOIST_VERSION};
        }
        return check_arguments(parsed, default_platform);
    } catch (const cxxopts::exceptions::exception& error) {
        return usage_error(error.what());
    }
}

} // namespace pomelohoist
