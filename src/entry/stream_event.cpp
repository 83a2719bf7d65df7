#include "entry/stream_event.h"

#include "http/field_syntax.h"

#include <pomelohoist/config.h>

#include <Poco/UTF8Encoding.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace pomelohoist {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 4> field_names{"data", "event", "id", "retry"};
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_integer(std::string_view text) {
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, number);
    return !text.empty() && error == std::errc{} && stopped == end;
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

std::optional<stream_event> stream_event_parser::next() {
    while (!this->malformed && this->position < this->buffer.size() && this->skip_character()) {
        const bool is_line_end = this->buffer[this->position - 1] == '\n';
        if (is_line_end && this->end_line()) {
            return this->extract_event();
        }
        this->malformed = this->malformed || this->position > config::max_event_bytes;
    }
    std::string_view line = std::string_view{this->buffer}.substr(this->line_begin);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    this->malformed = this->malformed || !this->may_become_field(line);
    return std::nullopt;
}

bool stream_event_parser::skip_character() {
    const std::string_view rest = std::string_view{this->buffer}.substr(this->position);
    const auto first = static_cast<unsigned char>(rest.front());
    if (first == '\r') {
        this->malformed = rest.size() > 1 && rest[1] != '\n';
        this->position += rest.size() > 1 ? 1 : 0;
        return rest.size() > 1;
    }
    const Poco::UTF8Encoding encoding;
    const auto* bytes = reinterpret_cast<const unsigned char*>(rest.data());
    const int code = encoding.queryConvert(bytes, static_cast<int>(rest.size()));
    if (code < -1) {
        return false;
    }
    const bool is_control = first < first_printable && first != '\t' && first != '\n';
    this->malformed = code == -1 || is_control || first == delete_character;
    if (!this->malformed) {
        this->position += static_cast<std::size_t>(encoding.sequenceLength(bytes, static_cast<int>(rest.size())));
    }
    return !this->malformed;
}

bool stream_event_parser::end_line() {
    const std::size_t begin = std::exchange(this->line_begin, this->position);
    std::string_view line = std::string_view{this->buffer}.substr(begin, this->position - 1 - begin);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        return true;
    }
    this->read_field(line, begin == 0);
    return false;
}

bool stream_event_parser::may_become_field(std::string_view line) const {
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const auto matches = [&](std::string_view known) {
        return colon == std::string_view::npos ? known.starts_with(name) : name.empty() || known == name;
    };
    return std::any_of(field_names.begin(), field_names.end(), matches) ||
           (this->extensions.is_any_allowed && is_token(name)) ||
           (this->line_begin == 0 && matches(this->extensions.number_in_first_line));
}

bool stream_event_parser::is_extension(std::string_view name, std::string_view value, bool is_first_line) const {
    if (is_first_line && !name.empty() && name == this->extensions.number_in_first_line) {
        return is_integer(value);
    }
    return this->extensions.is_any_allowed && is_token(name);
}

void stream_event_parser::read_field(std::string_view line, bool is_first_line) {
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (colon == 0) {
        this->current.has_comment = true;
    } else if (name == "data") {
        if (this->current.data) {
            this->current.data->append("\n").append(value);
        } else {
            this->current.data = value;
        }
    } else if (name == "id") {
        this->malformed = this->current.id.has_value();
        this->current.id = value;
    } else if (name == "retry") {
        this->malformed = value.empty() || value.find_first_not_of("0123456789") != std::string_view::npos;
    } else if (name != "event") {
        this->current.has_extension = true;
        this->malformed = colon == std::string_view::npos || !this->is_extension(name, value, is_first_line);
    }
}

stream_event stream_event_parser::extract_event() {
    stream_event complete = std::exchange(this->current, {});
    complete.bytes = this->buffer.substr(0, this->position);
    this->buffer.erase(0, this->position);
    this->line_begin = 0;
    this->position = 0;
    return complete;
}

void stream_event_parser::reset() {
    *this = stream_event_parser{std::move(this->extensions)};
}

stream_event_kind kind_of_event(const std::string& data) {
    if (data == "[DONE]") {
        return stream_event_kind::closing;
    }
    const json parsed = json::parse(data, nullptr, false);
    if (!parsed.is_object()) {
        return stream_event_kind::unknown;
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
