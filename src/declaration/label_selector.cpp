#include "declaration/configuration.h"
#include "declaration/object_rules.h"

#include <algorithm>

namespace pomelohoist {

namespace {

std::string trimmed(const std::string& text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos) {
        return "";
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

result<label_selector::condition> parse_condition(const std::string& text) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return failure{error_kind::invalid_declaration, "condition \"" + text + "\" has no = or !="};
    }
    const bool is_negated = equals > 0 && text[equals - 1] == '!';
    label_selector::condition parsed;
    parsed.label = trimmed(text.substr(0, equals - (is_negated ? 1 : 0)));
    parsed.value = trimmed(text.substr(equals + 1));
    parsed.negated = is_negated;
    if (!is_label_key(parsed.label) || !is_label_value(parsed.value)) {
        return failure{error_kind::invalid_declaration, "condition \"" + text + "\" has a bad label or value"};
    }
    return parsed;
}

} // namespace

result<label_selector> label_selector::parse(const std::string& text) {
    label_selector parsed;
    if (trimmed(text) == "*") {
        return parsed;
    }
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const result<condition> next = parse_condition(trimmed(text.substr(begin, end - begin)));
        if (!next) {
            return next.last_error();
        }
        parsed.conditions.push_back(*next);
        begin = end + 1;
    }
    return parsed;
}

bool label_selector::matches(const object_fields& fields) const {
    return std::all_of(this->conditions.begin(), this->conditions.end(), [&fields](const condition& required) {
        const auto found = fields.values.find(label_prefix + required.label);
        const bool is_equal = found != fields.values.end() && found->second == required.value;
        return is_equal != required.negated;
    });
}

} // namespace pomelohoist
