#include "operator/label_arguments.h"

#include "declaration/object_rules.h"

namespace pomelohoist {

namespace {

void append_line(std::string& text, const std::string& line) {
    text += (text.empty() ? "" : "\n") + line;
}

void parse_label(const std::string& text, label_arguments& parsed, std::string& errors) {
    const auto equals = text.find('=');
    const bool is_removal = equals == std::string::npos && text.ends_with('-');
    const std::string key = text.substr(0, is_removal ? text.size() - 1 : equals);
    std::optional<std::string> value;
    if (equals != std::string::npos) {
        value = text.substr(equals + 1);
    }
    if (!is_label_key(key) || (!is_removal && !(value && is_label_value(*value)))) {
        append_line(errors,
                    "bad label \"" + text + "\"; allowed are KEY=VALUE and KEY-, each of letters, digits, _, - and .");
        return;
    }
    if (!parsed.labels.emplace(key, value).second) {
        append_line(errors, "label \"" + key + "\" is given twice; allowed is once");
    }
}

} // namespace

result<label_arguments> parse_label_arguments(const std::vector<std::string>& arguments) {
    label_arguments parsed;
    std::string errors;
    const std::optional<object_kind> kind = parse_object_kind(arguments.at(0));
    if (!kind) {
        append_line(errors,
                    "unknown kind \"" + arguments.at(0) + "\"; allowed are workspace, application, endpoint, selector");
    }
    parsed.object = {kind.value_or(object_kind::count), arguments.at(1)};
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        parse_label(arguments[i], parsed, errors);
    }
    if (!errors.empty()) {
        return failure{error_kind::bad_request, errors};
    }
    return parsed;
}

std::vector<patch> label_patches(const label_arguments& arguments, const object_fields& current) {
    std::vector<patch> patches;
    for (const auto& [label, value] : arguments.labels) {
        const std::string key = label_prefix + label;
        const auto found = current.values.find(key);
        const std::optional<std::string> before =
            found == current.values.end() ? std::nullopt : std::optional{found->second};
        if (before != value) {
            patches.push_back({arguments.object, key, before, value});
        }
    }
    if (!patches.empty()) {
        // Without this check, setting a label would re-create an object that was removed concurrently.
        patches.insert(patches.begin(), patch{arguments.object, "", "", ""});
    }
    return patches;
}

} // namespace pomelohoist
