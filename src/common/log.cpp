#include "common/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/null_sink.h>

#include <utility>

namespace pomelohoist {

namespace {

// spdlog writes time and level. The text after them is JSON members or name=value pairs.
constexpr const char* text_pattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr const char* json_pattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

// Replaces invalid UTF-8, because logging must never throw.
std::string json_text(std::string_view text) {
    const nlohmann::json value = std::string{text};
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool needs_quotes(const std::string& text) {
    return text.empty() || text.find_first_of(" \t\r\n\"=\\") != std::string::npos;
}

std::string text_line(const std::string& name, std::string_view event, const std::vector<log_field>& fields) {
    std::string line = name + " " + std::string{event};
    for (const log_field& field : fields) {
        line +=
            " " + std::string{field.name} + "=" + (needs_quotes(field.value) ? json_text(field.value) : field.value);
    }
    return line;
}

std::string json_line(const std::string& name, std::string_view event, const std::vector<log_field>& fields) {
    std::string line = "\"process\":" + json_text(name) + ",\"event\":" + json_text(event);
    for (const log_field& field : fields) {
        line += "," + json_text(field.name) + ":" + json_text(field.value);
    }
    return line;
}

} // namespace

structured_log::structured_log(std::shared_ptr<spdlog::logger> sink, log_format line_format, std::string process_name)
    : logger(std::move(sink)), format(line_format), name(std::move(process_name)) {
    const char* pattern = this->format == log_format::json ? json_pattern : text_pattern;
    this->logger->set_pattern(pattern, spdlog::pattern_time_type::utc);
}

void structured_log::debug(std::string_view event, const std::vector<log_field>& fields) {
    this->write(spdlog::level::debug, event, fields);
}

void structured_log::info(std::string_view event, const std::vector<log_field>& fields) {
    this->write(spdlog::level::info, event, fields);
}

void structured_log::warn(std::string_view event, const std::vector<log_field>& fields) {
    this->write(spdlog::level::warn, event, fields);
}

void structured_log::error(std::string_view event, const std::vector<log_field>& fields) {
    this->write(spdlog::level::err, event, fields);
}

void structured_log::write(spdlog::level::level_enum level, std::string_view event,
                           const std::vector<log_field>& fields) {
    if (!this->logger->should_log(level)) {
        return;
    }
    const std::string line =
        this->format == log_format::json ? json_line(this->name, event, fields) : text_line(this->name, event, fields);
    this->logger->log(level, spdlog::string_view_t{line.data(), line.size()});
}

structured_log make_null_log() {
    auto sink = std::make_shared<spdlog::logger>("null", std::make_shared<spdlog::sinks::null_sink_mt>());
    sink->set_level(spdlog::level::off);
    return {std::move(sink), log_format::text, "null"};
}

} // namespace pomelohoist
