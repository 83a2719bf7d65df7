#pragma once

#include "common/log.h"
#include "common/metrics.h"
#include "common/random_source.h"
#include "common/settings.h"
#include "common/span.h"

#include <pomelohoist/clock.h>

#include <memory>
#include <string>

/// Common part of all daemons: command line, settings, logs, signals, graceful stop.
namespace pomelohoist {

/// Services that `run_daemon` provides to a daemon.
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
    /// @returns the addresses on which the daemon listens, as "inner=IP:PORT http=IP:PORT"
    virtual result<std::string> start() = 0;
    /// Graceful stop: accepts no new work and waits for running work, at most `config::shutdown_grace`.
    virtual void stop() = 0;
    /// Applies changed settings after SIGHUP. Settings that cannot change while the process runs keep their values.
    virtual void reload(const settings& /*checked*/) {}
};

class daemon_factory {
  public:
    virtual ~daemon_factory() = default;
    /// @returns the keys of this daemon, without the common ones (process.*, log.*, trace.*)
    [[nodiscard]] virtual settings_schema schema() const = 0;
    virtual std::unique_ptr<daemon> create(const settings& checked, const daemon_context& context) = 0;
};

/// Keys of every daemon: process.name, process.data_centre, process.host, log.format, log.level, log.output,
/// trace.file, trace.url.
settings_schema common_schema();

/// Runs a daemon until SIGTERM or SIGINT. Options: --config FILE, --check-config, --version, --help. Prints the line
/// "ready ADDRESSES" to standard output when the daemon has started.
/// @returns the exit status: 0 after a graceful stop, 1 when the start failed, 2 on bad arguments or settings
int run_daemon(int argc, char** argv, const std::string& program_name, daemon_factory& factory);

} // namespace pomelohoist
