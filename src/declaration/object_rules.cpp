#include "declaration/object_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace pomelohoist {

namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::size_t sha256_digits = 64;
constexpr double max_weight = 1000.0;
constexpr std::uint32_t max_deadline_ms = 86400000;
constexpr std::uint32_t max_rank = 65535;

/// Rule for one field of a kind of object.
struct field_rule {
    std::string_view key;
    bool required;
    std::string_view allowed;
    bool (*is_allowed)(const std::string& value);
};

constexpr std::array<std::string_view, 4> kind_names{"workspace", "application", "endpoint", "selector"};

bool is_identifier(std::string_view text) {
    const auto is_allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '_' || character == '-' || character == '.';
    };
    return !text.empty() && text.size() <= max_name_length && std::all_of(text.begin(), text.end(), is_allowed);
}

bool is_number_between(const std::string& text, std::uint32_t lowest, std::uint32_t highest) {
    std::uint32_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    return code == std::errc{} && end == text.data() + text.size() && number >= lowest && number <= highest;
}

bool is_digest(const std::string& text) {
    return text.size() == sha256_digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool is_weight(const std::string& text) {
    double number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    return code == std::errc{} && end == text.data() + text.size() && number > 0 && number <= max_weight;
}

bool is_priority(const std::string& text) {
    return text == "high" || text == "normal" || text == "low";
}

bool is_flag(const std::string& text) {
    return text == "true" || text == "false";
}

bool is_deadline(const std::string& text) {
    return is_number_between(text, 1, max_deadline_ms);
}

bool is_endpoint_kind(const std::string& text) {
    return text == "model" || text == "service";
}

bool is_agent(const std::string& text) {
    const std::optional<net_address> address = net_address::parse(text);
    return address && address->port != 0;
}

bool is_name(const std::string& text) {
    return is_identifier(text);
}

bool is_rank(const std::string& text) {
    return is_number_between(text, 0, max_rank);
}

bool is_fencing(const std::string& text) {
    return text == "checked" || text == "ignored";
}

bool is_selector(const std::string& text) {
    return label_selector::parse(text).has_value();
}

constexpr std::string_view allowed_name = "allowed are 1 to 63 letters, digits, _, - and .";
constexpr std::string_view allowed_selector = "allowed are conditions as in a=b,c!=d, or * for everything";

const std::vector<field_rule>& rules_of(object_kind kind) {
    static const std::vector<field_rule> workspace_rules{
        {"key_sha256", true, "allowed are 64 lower-case hexadecimal digits", is_digest},
        {"weight", false, "allowed is a number above 0 and at most 1000", is_weight},
    };
    static const std::vector<field_rule> application_rules{
        {"priority", false, "allowed are high, normal, low", is_priority},
        {"idempotent", false, "allowed are true, false", is_flag},
        {"deadline_ms", false, "allowed is a whole number from 1 to 86400000", is_deadline},
    };
    static const std::vector<field_rule> endpoint_rules{
        {"kind", true, "allowed are model, service", is_endpoint_kind},
        {"agent", true, "allowed is IP:PORT", is_agent},
        {"data_centre", false, allowed_name, is_name},
        {"host", false, allowed_name, is_name},
        {"serves", true, allowed_name, is_name},
        {"group", false, allowed_name, is_name},
        {"rank", false, "allowed is a whole number from 0 to 65535", is_rank},
        {"fencing", false, "allowed are checked, ignored", is_fencing},
    };
    static const std::vector<field_rule> selector_rules{
        {"workspaces", true, allowed_selector, is_selector},
        {"applications", true, allowed_selector, is_selector},
        {"endpoints", true, allowed_selector, is_selector},
    };
    static const std::vector<field_rule> no_rules;
    switch (kind) {
    case object_kind::workspace:
        return workspace_rules;
    case object_kind::application:
        return application_rules;
    case object_kind::endpoint:
        return endpoint_rules;
    case object_kind::selector:
        return selector_rules;
    case object_kind::count:
        break;
    }
    return no_rules;
}

std::string known_keys(const std::vector<field_rule>& rules) {
    std::string list;
    for (const field_rule& rule : rules) {
        list += std::string{rule.key} + ", ";
    }
    return "unknown key; allowed are " + list + label_prefix + "KEY";
}

void check_label(const std::string& key, const std::string& value, std::vector<field_error>& errors) {
    if (!is_label_key(std::string_view{key}.substr(label_prefix.size()))) {
        errors.push_back({key, "bad label; " + std::string{allowed_name}});
    }
    if (!is_label_value(value)) {
        errors.push_back({key, "bad value \"" + value + "\"; " + std::string{allowed_name}});
    }
}

} // namespace

std::string_view to_string(object_kind kind) {
    return kind == object_kind::count ? "unknown" : kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<object_kind> parse_object_kind(std::string_view name) {
    const auto* const found = std::find(kind_names.begin(), kind_names.end(), name);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<object_kind>(std::distance(kind_names.begin(), found));
}

bool is_label_key(std::string_view text) {
    return is_identifier(text);
}

bool is_label_value(std::string_view text) {
    return is_identifier(text);
}

bool is_object_name(std::string_view text) {
    return is_identifier(text);
}

std::vector<field_error> check_object(const object_key& key, const object_fields& fields) {
    std::vector<field_error> errors;
    if (key.kind >= object_kind::count) {
        return {{"", "unknown kind; allowed are workspace, application, endpoint, selector"}};
    }
    if (!is_object_name(key.name)) {
        errors.push_back({"", "bad name \"" + key.name + "\"; " + std::string{allowed_name}});
    }
    const std::vector<field_rule>& rules = rules_of(key.kind);
    for (const auto& [name, value] : fields.values) {
        if (name.starts_with(label_prefix)) {
            check_label(name, value, errors);
            continue;
        }
        const auto rule = std::find_if(rules.begin(), rules.end(),
                                       [&name = name](const field_rule& candidate) { return candidate.key == name; });
        if (rule == rules.end()) {
            errors.push_back({name, known_keys(rules)});
        } else if (!rule->is_allowed(value)) {
            errors.push_back({name, "bad value \"" + value + "\"; " + std::string{rule->allowed}});
        }
    }
    for (const field_rule& rule : rules) {
        if (rule.required && !fields.values.contains(std::string{rule.key})) {
            errors.push_back({std::string{rule.key}, "is missing; " + std::string{rule.allowed}});
        }
    }
    if (fields.values.contains("rank") && !fields.values.contains("group")) {
        errors.push_back({"rank", "stands without a group; allowed is a rank together with a group"});
    }
    return errors;
}

} // namespace pomelohoist
