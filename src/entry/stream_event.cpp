#include "entry/stream_event.h"

#include <nlohmann/json.hpp>

#include <sstream>
#include <string_view>

namespace pomelohoist {

namespace {

using nlohmann::json;

std::string data_of(const std::string& event) {
    constexpr std::string_view prefix = "data:";
    std::istringstream lines{event};
    std::string data;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix)) {
            line.erase(0, prefix.size());
            line.erase(0, line.find_first_not_of(' '));
            data += line;
        }
    }
    while (!data.empty() && (data.back() == '\r' || data.back() == '\n')) {
        data.pop_back();
    }
    return data;
}

bool has_text(const json& choice) {
    const json* holder = &choice;
    const char* field = "text";
    if (const auto delta = choice.find("delta"); delta != choice.end() && delta->is_object()) {
        holder = &*delta;
        field = "content";
    }
    const auto text = holder->find(field);
    return text != holder->end() && text->is_string() && !text->get_ref<const std::string&>().empty();
}

} // namespace

std::optional<std::string> extract_event(std::string& buffer) {
    constexpr std::string_view unix_end = "\n\n";
    constexpr std::string_view dos_end = "\r\n\r\n";
    const std::size_t unix_position = buffer.find(unix_end);
    const std::size_t dos_position = buffer.find(dos_end);
    std::size_t length = 0;
    if (unix_position != std::string::npos && (dos_position == std::string::npos || unix_position < dos_position)) {
        length = unix_position + unix_end.size();
    } else if (dos_position != std::string::npos) {
        length = dos_position + dos_end.size();
    } else {
        return std::nullopt;
    }
    std::string event = buffer.substr(0, length);
    buffer.erase(0, length);
    return event;
}

stream_event_kind kind_of_event(const std::string& event) {
    const std::string data = data_of(event);
    if (data == "[DONE]") {
        return stream_event_kind::closing;
    }
    const json parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object()) {
        return stream_event_kind::opening;
    }
    if (parsed.contains("error")) {
        return stream_event_kind::error;
    }
    const auto choices = parsed.find("choices");
    if (choices == parsed.end() || !choices->is_array() || choices->empty() || !choices->front().is_object()) {
        return stream_event_kind::opening;
    }
    const json& choice = choices->front();
    if (const auto reason = choice.find("finish_reason"); reason != choice.end() && !reason->is_null()) {
        return stream_event_kind::closing;
    }
    return has_text(choice) ? stream_event_kind::text : stream_event_kind::opening;
}

} // namespace pomelohoist
