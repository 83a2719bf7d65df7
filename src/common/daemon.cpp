#include "common/daemon.h"

#include "common/process_memory.h"

#include <cxxopts.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <utility>

namespace pomelohoist {

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

struct daemon_arguments {
    std::string config_file;
    bool check_only{false};
};

/// Settings file and its schema, kept for reloads.
struct settings_source {
    std::string file;
    settings_schema schema;
};

/// Arguments, or the exit status when the program ends at once (--help, --version, bad arguments).
struct parsed_arguments {
    std::optional<daemon_arguments> arguments;
    int exit_status{exit_ok};
};

std::string settings_help(const settings_schema& schema) {
    std::string text = "\nSettings (section.key):\n";
    for (const setting_spec& spec : schema) {
        text += "  " + spec.key + (spec.required ? " (required)" : "") + ": " + spec.description;
        for (const std::string& choice : spec.allowed) {
            text += (&choice == &spec.allowed.front() ? "; " : ", ") + choice;
        }
        text += (spec.default_value.empty() ? "" : " (default " + spec.default_value + ")") + "\n";
    }
    return text;
}

parsed_arguments parse_arguments(int argc, char** argv, const std::string& program_name,
                                 const settings_schema& schema) {
    cxxopts::Options options{program_name};
    options.add_options()("config", "settings file (INI)", cxxopts::value<std::string>(), "FILE")(
        "check-config", "check the settings file and exit")("version", "print the version")("help", "print this text");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << settings_help(schema)
                      << "\nExit status: 0 stopped gracefully, 1 start failed, 2 bad arguments or "
                      << "settings\n";
            return {};
        }
        if (parsed.count("version") > 0) {
            std::cout << program_name << ' ' << POMELOHOIST_VERSION << '\n';
            return {};
        }
        if (!parsed.unmatched().empty()) {
            std::cerr << program_name << ": unexpected argument " << parsed.unmatched().front() << '\n';
            return {std::nullopt, exit_usage};
        }
        if (parsed.count("config") == 0) {
            std::cerr << program_name << ": --config FILE is required\n";
            return {std::nullopt, exit_usage};
        }
        return {daemon_arguments{parsed["config"].as<std::string>(), parsed.count("check-config") > 0}, exit_ok};
    } catch (const std::exception& error) {
        std::cerr << program_name << ": " << error.what() << '\n';
        return {std::nullopt, exit_usage};
    }
}

sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Lines queued for standard output. A full queue drops its oldest lines, so that a stalled reader never blocks a
/// request.
constexpr std::size_t log_queue_lines = 512;

std::shared_ptr<spdlog::logger> make_logger(const settings& checked) {
    if (checked.text("log.output") == "stderr") {
        return std::make_shared<spdlog::logger>("pomelohoist", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    }
    spdlog::init_thread_pool(log_queue_lines, 1);
    return std::make_shared<spdlog::async_logger>("pomelohoist", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                                  spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
}

structured_log make_daemon_log(const settings& checked) {
    std::shared_ptr<spdlog::logger> sink = make_logger(checked);
    sink->set_level(spdlog::level::from_str(checked.text("log.level")));
    sink->flush_on(spdlog::level::trace);
    const log_format format = checked.text("log.format") == "json" ? log_format::json : log_format::text;
    return {std::move(sink), format, checked.text("process.name")};
}

/// Reads the settings file again and passes the settings to the daemon.
void reload_settings(daemon& running_daemon, structured_log& log, const settings_source& source) {
    const result<settings> checked = settings::load(source.file, source.schema);
    if (!checked) {
        log.error("reload_failed", {{"reason", checked.last_error().reason}});
        return;
    }
    running_daemon.reload(*checked);
    log.info("reloaded");
}

int serve_until_signal(daemon& running_daemon, structured_log& log, const sigset_t& signals,
                       const settings_source& source) {
    const result<std::string> addresses = running_daemon.start();
    if (!addresses) {
        log.error("start_failed", {{"reason", addresses.last_error().reason}});
        return exit_failed;
    }
    std::cout << "ready " << *addresses << std::endl;
    log.info("ready", {{"addresses", *addresses}});
    int received = 0;
    sigwait(&signals, &received);
    while (received == SIGHUP) {
        reload_settings(running_daemon, log, source);
        sigwait(&signals, &received);
    }
    log.info("stopping", {{"signal", received == SIGINT ? "SIGINT" : "SIGTERM"}});
    running_daemon.stop();
    log.info("stopped");
    return exit_ok;
}

int run_with_settings(const settings& checked, const std::string& program_name, daemon_factory& factory,
                      const sigset_t& signals, const settings_source& source) {
    structured_log log = make_daemon_log(checked);
    try {
        const system_clock time;
        seeded_random random{system_seed()};
        metrics_registry metrics;
        const std::unique_ptr<span_exporter> spans =
            make_span_exporter(program_name, checked.text("trace.file"), checked.text("trace.url"), time);
        const daemon_context context{time, random, log, *spans, metrics};
        const std::unique_ptr<daemon> running_daemon = factory.create(checked, context);
        return serve_until_signal(*running_daemon, log, signals, source);
    } catch (const std::exception& error) {
        log.error("failed", {{"reason", error.what()}});
        return exit_failed;
    }
}

} // namespace

settings_schema common_schema() {
    return {
        {"process.name", setting_type::text, true, "", "name of this process, unique in the cluster", {}},
        {"process.data_centre", setting_type::text, false, "", "data centre that this process runs in", {}},
        {"process.host", setting_type::text, false, "", "host as in the platform's host list", {}},
        {"log.format", setting_type::choice, false, "text", "format of log lines", {"text", "json"}},
        {"log.level",
         setting_type::choice,
         false,
         "info",
         "lowest level that is logged",
         {"debug", "info", "warn", "error"}},
        {"log.output",
         setting_type::choice,
         false,
         "stderr",
         "destination of log lines; lines to stdout are queued, and a full queue drops its oldest lines",
         {"stderr", "stdout"}},
        {"trace.file",
         setting_type::text,
         false,
         "",
         "file to which spans are appended as OTLP JSON, one export per line",
         {}},
        {"trace.url", setting_type::text, false, "", "OTLP/HTTP collector, as http://IP:PORT/v1/traces", {}},
    };
}

int run_daemon(int argc, char** argv, const std::string& program_name, daemon_factory& factory) {
    settings_schema schema = common_schema();
    const settings_schema daemon_keys = factory.schema();
    schema.insert(schema.end(), daemon_keys.begin(), daemon_keys.end());
    const parsed_arguments parsed = parse_arguments(argc, argv, program_name, schema);
    if (!parsed.arguments) {
        return parsed.exit_status;
    }
    const result<settings> checked = settings::load(parsed.arguments->config_file, schema);
    if (!checked) {
        std::cerr << checked.last_error().reason << '\n';
        return exit_usage;
    }
    if (parsed.arguments->check_only) {
        std::cout << parsed.arguments->config_file << ": settings are valid\n";
        return exit_ok;
    }
    limit_memory_pools();
    // The signals are blocked before the first thread starts, so that every thread inherits the mask and only sigwait
    // receives them.
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return run_with_settings(*checked, program_name, factory, signals, {parsed.arguments->config_file, schema});
}

} // namespace pomelohoist
