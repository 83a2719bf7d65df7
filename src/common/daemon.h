#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "common/random_source.h"
#include "common/settings.h"
#include "common/span.h"

#include <pomelohoist/clock.h>

#include <memory>
#include <string>

/// What all daemons share: command line, settings, logs, signals, graceful stop.
namespace pomelohoist {

/// Services that a daemon gets from its host program.
struct daemon_context {
    const clock& time;
    random_source& random;
    structured_log& log;
    span_exporter& spans;
    metrics_registry& metrics;
};

class daemon {
  public:
    virtual ~daemon() = default;
    /// Starts all threads.
    /// @returns the addresses that it serves, as "inner=IP:PORT http=IP:PORT"
    virtual result<std::string> start() = 0;
    /// Graceful stop: takes no new work, finishes what runs, at most `config::shutdown_grace`.
    virtual void stop() = 0;
    /// Takes changed settings after SIGHUP. What cannot change while the process runs stays as it is.
    virtual void reload(const settings& /*checked*/) {}
};

class daemon_factory {
  public:
    virtual ~daemon_factory() = default;
    /// @returns the keys of this daemon, besides the common ones (process.*, log.*, trace.*)
    [[nodiscard]] virtual settings_schema schema() const = 0;
    virtual std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) = 0;
};

/// Keys that every daemon knows: process.name, process.data_centre, process.host, log.format, log.level, trace.file,
/// trace.url.
settings_schema common_schema();

/// Runs a daemon until SIGTERM or SIGINT. Understands --config FILE, --check-config, --version, --help. Prints the line
/// "ready ADDRESSES" on standard output once the daemon serves.
/// @returns the exit status: 0 after a graceful stop, 1 when the start failed, 2 on bad arguments or settings
int run_daemon(int argc, char** argv, const std::string& program_name, daemon_factory& factory);

} // namespace pomelohoist
