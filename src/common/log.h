#pragma once

#include <spdlog/logger.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Structured logs (spdlog): an event name and fields, as text or JSON lines.
namespace pomelohoist {

/// One field of a log line.
struct log_field {
    std::string_view name;
    std::string value;

    friend bool operator==(const log_field&, const log_field&) = default;
};

enum class log_format : std::uint8_t { text, json, count };

class structured_log {
  public:
    structured_log(std::shared_ptr<spdlog::logger> sink, log_format line_format, std::string process_name);

    /// @param event lower-case words joined by underscores, documented in docs/operators.md
    /// @param fields further values of the line
    void debug(std::string_view event, const std::vector<log_field>& fields = {});
    void info(std::string_view event, const std::vector<log_field>& fields = {});
    void warn(std::string_view event, const std::vector<log_field>& fields = {});
    void error(std::string_view event, const std::vector<log_field>& fields = {});

  private:
    void write(spdlog::level::level_enum level, std::string_view event, const std::vector<log_field>& fields);

    std::shared_ptr<spdlog::logger> logger;
    log_format format;
    std::string name;
};

/// @returns a log that discards all lines, for tests
structured_log make_null_log();

} // namespace pomelohoist
