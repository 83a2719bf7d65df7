#include "operator/operator_commands.h"
#include "platform/http_platform.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace pomelohoist {
namespace {

int print(const command_report& report, output_format format) {
    std::cout << render_report(report, format) << std::flush;
    if (report.error) {
        std::cerr << "pomelohoist: " << error_info_of(report.error->kind).name << ": " << report.error->reason << '\n';
    }
    return static_cast<int>(report.status);
}

command_report run_on_platform(const operator_command& command, status_client& client, random_source& random,
                               const clock& time) {
    const auto platform = make_platform_client(command.platform, time);
    configuration_commit committer{*platform, *platform};
    platform_declaration_store store{*platform, committer};
    return operator_commands{store, client, random, time}.run(command);
}

int run(const operator_command& command) {
    const system_clock time;
    seeded_random random{system_seed()};
    inner::datagram_endpoint caller{{"0.0.0.0", 0}, "pomelohoist", time};
    caller.start(nullptr);
    datagram_status_client client{caller};
    const command_report report = run_on_platform(command, client, random, time);
    caller.stop();
    return print(report, command.format);
}

int run_program(const std::vector<std::string>& arguments) {
    const char* platform = std::getenv("POMELOHOIST_PLATFORM");
    const parsed_command parsed = parse_operator_arguments(arguments, platform == nullptr ? "" : platform);
    if (!parsed.command) {
        (parsed.status == operator_status::ok ? std::cout : std::cerr) << parsed.text << '\n';
        return static_cast<int>(parsed.status);
    }
    try {
        return run(*parsed.command);
    } catch (const std::exception& error) {
        std::cerr << "pomelohoist: " << error.what() << '\n';
        return static_cast<int>(operator_status::failed);
    }
}

} // namespace
} // namespace pomelohoist

int main(int argc, char** argv) {
    return pomelohoist::run_program(std::vector<std::string>(argv + 1, argv + argc));
}
