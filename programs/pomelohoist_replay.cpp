#include "balance/balance_settings.h"
#include "common/settings.h"
#include "replay/expectations.h"
#include "replay/expert_trace.h"
#include "replay/report.h"
#include "replay/request_trace.h"
#include "replay/routing_comparison.h"
#include "replay/trace_generator.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace pomelohoist;

constexpr int exit_ok = 0;
constexpr int exit_unmet = 1;
constexpr int exit_usage = 2;

const std::vector<double> compared_loads{0.5, 0.8, 0.95};

int fail(const std::string& reason) {
    std::cerr << "pomelohoist-replay: " << reason << '\n';
    return exit_usage;
}

cxxopts::Options make_options() {
    cxxopts::Options options{"pomelohoist-replay",
                             "Runs balance policies over a recorded trace, or generates a trace.\n"
                             "Exit status: 0 done, 1 an expectation is unmet, 2 bad arguments, settings or trace.\n"};
    options.add_options()("trace", "recorded trace (JSON Lines)", cxxopts::value<std::string>(),
                          "FILE")("settings", "settings file with [balance]", cxxopts::value<std::string>(), "FILE")(
        "policy",
        "expert load: adaptive, never_move, greedy_replan; requests: affinity, random, round_robin, least_loaded, "
        "two_choices; may be repeated; default all",
        cxxopts::value<std::vector<std::string>>(),
        "NAME")("expect", "expected outcomes, INI file with [expect]", cxxopts::value<std::string>(),
                "FILE")("report", "folder for CSV files and an SVG plot", cxxopts::value<std::string>(),
                        "DIR")("help", "print this text");
    options.add_options("generate")(
        "generate",
        "write a trace of this kind: slow_drift, holiday_surge, sudden_flip, rack_cooling, steady, requests",
        cxxopts::value<std::string>(),
        "KIND")("output", "file of the new trace", cxxopts::value<std::string>(),
                "FILE")("seed", "seed of the new trace", cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
        "steps", "steps, or number of requests", cxxopts::value<std::uint32_t>()->default_value("600"),
        "N")("ranks", "ranks", cxxopts::value<std::uint32_t>()->default_value("16"),
             "N")("experts", "experts in each layer", cxxopts::value<std::uint32_t>()->default_value("64"),
                  "N")("layers", "layers", cxxopts::value<std::uint32_t>()->default_value("4"), "N")(
        "slots", "expert slots of a rank in each layer", cxxopts::value<std::uint32_t>()->default_value("5"),
        "N")("tokens", "mean tokens in a step and layer", cxxopts::value<double>()->default_value("4096"), "N");
    return options;
}

int generate(const cxxopts::ParseResult& arguments) {
    const std::string kind_name = arguments["generate"].as<std::string>();
    if (kind_name == "requests" && arguments.count("output") > 0) {
        constexpr double requests_per_second = 30.0;
        const result<done> written =
            write_request_trace(generate_requests(arguments["seed"].as<std::uint64_t>(),
                                                  arguments["steps"].as<std::uint32_t>(), requests_per_second),
                                arguments["output"].as<std::string>());
        return written ? exit_ok : fail(written.last_error().reason);
    }
    const std::optional<trace_kind> kind = parse_trace_kind(kind_name);
    if (!kind) {
        return fail("--generate: unknown kind " + kind_name);
    }
    if (arguments.count("output") == 0) {
        return fail("--generate needs --output FILE");
    }
    const expert_shape shape{arguments["ranks"].as<std::uint32_t>(), arguments["experts"].as<std::uint32_t>(),
                             arguments["layers"].as<std::uint32_t>(), arguments["slots"].as<std::uint32_t>()};
    const double tokens = arguments["tokens"].as<double>();
    if (shape.slots() == 0 || shape.experts == 0 || shape.slots_per_layer() < shape.experts || !(tokens > 0.0)) {
        return fail("--generate: sizes and tokens must be above 0, and ranks * slots at least experts");
    }
    trace_generator generator{
        {*kind, arguments["seed"].as<std::uint64_t>(), arguments["steps"].as<std::uint32_t>(), shape, tokens}};
    const result<done> written = write_trace(generator, arguments["output"].as<std::string>());
    return written ? exit_ok : fail(written.last_error().reason);
}

/// @returns the balance policies to run: the policies named by --policy, or all policies if --policy is absent or
/// --expect is present, since --expect compares the policies
std::vector<std::string> select_policies(const cxxopts::ParseResult& arguments) {
    if (arguments.count("policy") == 0 || arguments.count("expect") > 0) {
        return policy_names();
    }
    std::vector<std::string> policies;
    for (const std::string& name : arguments["policy"].as<std::vector<std::string>>()) {
        if (std::find(policies.begin(), policies.end(), name) == policies.end()) {
            policies.push_back(name);
        }
    }
    return policies;
}

int report_expectations(const expectations& expected, const std::vector<policy_result>& results) {
    const std::vector<std::string> unmet = find_unmet(expected, results);
    for (const std::string& line : unmet) {
        std::cerr << "unmet: " << line << '\n';
    }
    return unmet.empty() ? exit_ok : exit_unmet;
}

/// @returns the names passed by --policy, or `all_policies` if --policy is absent
std::vector<std::string> requested_policies(const cxxopts::ParseResult& arguments,
                                            const std::vector<std::string>& all_policies) {
    return arguments.count("policy") > 0 ? arguments["policy"].as<std::vector<std::string>>() : all_policies;
}

int run_request_replay(const cxxopts::ParseResult& arguments) {
    const std::vector<std::string> names = requested_policies(arguments, routing_policy_names());
    for (const std::string& name : names) {
        if (std::find(routing_policy_names().begin(), routing_policy_names().end(), name) ==
            routing_policy_names().end()) {
            return fail("unknown routing policy " + name);
        }
    }
    if (arguments.count("expect") > 0 || arguments.count("report") > 0) {
        return fail("--expect and --report need a trace of expert load");
    }
    const result<std::vector<request_record>> requests = read_request_trace(arguments["trace"].as<std::string>());
    if (!requests) {
        return fail(requests.last_error().reason);
    }
    std::cout << render_request_table(
                     compare_routing(*requests, names, compared_loads, {}, arguments["seed"].as<std::uint64_t>()))
              << std::flush;
    return exit_ok;
}

int run_replay(const cxxopts::ParseResult& arguments) {
    if (arguments.count("trace") == 0) {
        return fail("--trace FILE is required");
    }
    if (is_request_trace(arguments["trace"].as<std::string>())) {
        return run_request_replay(arguments);
    }
    if (arguments.count("settings") == 0) {
        return fail("--settings FILE is required");
    }
    if (arguments.count("policy") > 0) {
        for (const std::string& name : arguments["policy"].as<std::vector<std::string>>()) {
            if (std::find(policy_names().begin(), policy_names().end(), name) == policy_names().end()) {
                return fail("unknown policy " + name);
            }
        }
    }
    const result<settings> loaded = settings::load(arguments["settings"].as<std::string>(), balance_schema());
    if (!loaded) {
        return fail(loaded.last_error().reason);
    }
    const result<balance_options> options = read_balance_options(*loaded);
    if (!options) {
        return fail(arguments["settings"].as<std::string>() + ": " + options.last_error().reason);
    }
    expectations expected;
    if (arguments.count("expect") > 0) {
        const result<expectations> read = load_expectations(arguments["expect"].as<std::string>());
        if (!read) {
            return fail(read.last_error().reason);
        }
        expected = *read;
    }
    trace_reader trace{arguments["trace"].as<std::string>()};
    if (trace.header_error()) {
        return fail(trace.header_error()->reason);
    }
    const result<std::vector<policy_result>> results = replay(trace, select_policies(arguments), *options);
    if (!results) {
        return fail(results.last_error().reason);
    }
    std::cout << render_table(*results) << std::flush;
    if (arguments.count("report") > 0) {
        const result<done> written = write_report(*results, arguments["report"].as<std::string>());
        if (!written) {
            return fail(written.last_error().reason);
        }
    }
    return arguments.count("expect") > 0 ? report_expectations(expected, *results) : exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options options = make_options();
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return exit_ok;
        }
        if (!arguments.unmatched().empty()) {
            return fail("unexpected argument " + arguments.unmatched().front());
        }
        return arguments.count("generate") > 0 ? generate(arguments) : run_replay(arguments);
    } catch (const std::exception& error) {
        return fail(error.what());
    }
}
