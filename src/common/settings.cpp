#include "common/settings.h"

#include "common/ini_file.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>

namespace pomelohoist {

namespace {

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parse_number(std::string_view text) {
    double number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream{text};
    std::string part;
    while (std::getline(stream, part, ',')) {
        const auto begin = part.find_first_not_of(" \t");
        const auto end = part.find_last_not_of(" \t");
        parts.push_back(begin == std::string::npos ? "" : part.substr(begin, end - begin + 1));
    }
    if (text.ends_with(',')) {
        parts.emplace_back();
    }
    return parts;
}

bool is_address_list(const std::string& text) {
    const std::vector<std::string> parts = split_list(text);
    return std::all_of(parts.begin(), parts.end(),
                       [](const std::string& part) { return net_address::parse(part).has_value(); });
}

std::string bound_text(const setting_spec& spec) {
    return spec.lowest ? fmt::format(", at least {}", *spec.lowest) : "";
}

bool is_in_bounds(const setting_spec& spec, const std::string& value) {
    const std::optional<double> number = parse_number(value);
    return number && (!spec.lowest || *number >= *spec.lowest);
}

std::string allowed_text(const setting_spec& spec) {
    switch (spec.type) {
    case setting_type::address:
        return "allowed is IP:PORT";
    case setting_type::address_list:
        return "allowed are IP:PORT, separated by commas";
    case setting_type::integer:
        return "allowed is a whole number" + bound_text(spec);
    case setting_type::number:
        return "allowed is a number" + bound_text(spec);
    case setting_type::duration_ms:
        return "allowed is a whole number of milliseconds, at least 0";
    case setting_type::flag:
        return "allowed are true, false";
    case setting_type::choice: {
        std::string list = "allowed are ";
        for (const std::string& choice : spec.allowed) {
            list += (&choice == &spec.allowed.front() ? "" : ", ") + choice;
        }
        return list;
    }
    case setting_type::text:
    case setting_type::count:
        break;
    }
    return "allowed is text that is not empty";
}

bool is_allowed(const setting_spec& spec, const std::string& value) {
    if (value.empty() && !spec.required && spec.default_value.empty()) {
        return true;
    }
    switch (spec.type) {
    case setting_type::address:
        return net_address::parse(value).has_value();
    case setting_type::address_list:
        return is_address_list(value);
    case setting_type::integer:
        return parse_integer(value).has_value() && is_in_bounds(spec, value);
    case setting_type::number:
        return is_in_bounds(spec, value);
    case setting_type::duration_ms:
        return parse_integer(value).value_or(-1) >= 0;
    case setting_type::flag:
        return value == "true" || value == "false";
    case setting_type::choice:
        return std::find(spec.allowed.begin(), spec.allowed.end(), value) != spec.allowed.end();
    case setting_type::text:
    case setting_type::count:
        break;
    }
    return !value.empty() || !spec.required;
}

std::string section_of(const std::string& key) {
    return key.substr(0, key.rfind('.'));
}

std::string name_of(const std::string& key) {
    return key.substr(key.rfind('.') + 1);
}

std::string unknown_key_reason(const settings_schema& schema, const std::string& section) {
    std::string list;
    for (const setting_spec& spec : schema) {
        if (section_of(spec.key) == section) {
            list += (list.empty() ? "" : ", ") + name_of(spec.key);
        }
    }
    if (!list.empty()) {
        return "unknown key; allowed are " + list;
    }
    std::set<std::string> sections;
    for (const setting_spec& spec : schema) {
        sections.insert(section_of(spec.key));
    }
    for (const std::string& name : sections) {
        list += (list.empty() ? "" : ", ") + name;
    }
    return "unknown section; allowed are " + list;
}

std::string joined(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
        text += (text.empty() ? "" : "\n") + line;
    }
    return text;
}

} // namespace

result<settings> settings::load(const std::string& file, const settings_schema& schema) {
    ini_content content = read_ini_file(file);
    if (content.is_unreadable) {
        // Errors for missing keys would hide that the file cannot be read.
        return failure{error_kind::invalid_settings, joined(content.errors)};
    }
    settings loaded;
    for (const ini_section& section : content.sections) {
        for (const ini_entry& entry : section.entries) {
            const std::string key = section.name + "." + entry.key;
            const auto spec = std::find_if(schema.begin(), schema.end(),
                                           [&key](const setting_spec& candidate) { return candidate.key == key; });
            if (spec == schema.end()) {
                content.errors.push_back(
                    ini_error(file, section.name, entry.key, unknown_key_reason(schema, section.name)));
                continue;
            }
            if (!is_allowed(*spec, entry.value)) {
                content.errors.push_back(ini_error(file, section.name, entry.key,
                                                   "bad value \"" + entry.value + "\"; " + allowed_text(*spec)));
            }
            loaded.values[key] = entry.value;
        }
    }
    for (const setting_spec& spec : schema) {
        const bool is_new = loaded.values.emplace(spec.key, spec.default_value).second;
        if (is_new && spec.required) {
            content.errors.push_back(
                ini_error(file, section_of(spec.key), name_of(spec.key), "is missing; " + allowed_text(spec)));
        }
    }
    if (!content.errors.empty()) {
        return failure{error_kind::invalid_settings, joined(content.errors)};
    }
    return loaded;
}

const std::string& settings::text(const std::string& key) const {
    return this->values.at(key);
}

net_address settings::address(const std::string& key) const {
    return net_address::parse(this->values.at(key)).value_or(net_address{});
}

std::vector<net_address> settings::address_list(const std::string& key) const {
    std::vector<net_address> addresses;
    for (const std::string& part : split_list(this->values.at(key))) {
        addresses.push_back(net_address::parse(part).value_or(net_address{}));
    }
    return addresses;
}

std::int64_t settings::integer(const std::string& key) const {
    return parse_integer(this->values.at(key)).value_or(0);
}

double settings::number(const std::string& key) const {
    return parse_number(this->values.at(key)).value_or(0);
}

std::chrono::milliseconds settings::duration(const std::string& key) const {
    return std::chrono::milliseconds{this->integer(key)};
}

bool settings::flag(const std::string& key) const {
    return this->values.at(key) == "true";
}

} // namespace pomelohoist
