#include "declaration/configuration_views.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace pomelohoist {

namespace {

std::string value_or(const object_fields& fields, const std::string& key, const std::string& missing) {
    const auto found = fields.values.find(key);
    return found == fields.values.end() ? missing : found->second;
}

std::uint32_t number_or_zero(const object_fields& fields, const std::string& key) {
    const auto found = fields.values.find(key);
    return found == fields.values.end() ? 0U : static_cast<std::uint32_t>(std::stoul(found->second));
}

priority to_priority(const std::string& text) {
    if (text == "high") {
        return priority::high;
    }
    return text == "low" ? priority::low : priority::normal;
}

endpoint to_endpoint(const std::string& name, const object_fields& fields) {
    endpoint parsed;
    parsed.name = name;
    parsed.kind = value_or(fields, "kind", "") == "service" ? endpoint_kind::service : endpoint_kind::model;
    parsed.agent = net_address::parse(value_or(fields, "agent", "")).value_or(net_address{});
    parsed.data_centre = value_or(fields, "data_centre", "");
    parsed.host = value_or(fields, "host", "");
    parsed.serves = value_or(fields, "serves", "");
    parsed.group = value_or(fields, "group", "");
    parsed.rank = number_or_zero(fields, "rank");
    parsed.checks_fencing = value_or(fields, "fencing", "ignored") == "checked";
    return parsed;
}

label_selector to_label_selector(const object_fields& fields, const std::string& key) {
    const result<label_selector> parsed = label_selector::parse(value_or(fields, key, "*"));
    return parsed ? *parsed : label_selector{};
}

void append_line(std::string& text, const std::string& line) {
    text += (text.empty() ? "" : "\n") + line;
}

} // namespace

result<std::shared_ptr<const workspace_view>> build_workspaces(const object_table& objects) {
    auto view = std::make_shared<workspace_view>();
    objects.for_each(object_kind::workspace, [&view](const std::string& name, const object_fields& fields) {
        view->by_name.push_back({name, value_or(fields, "key_sha256", ""), std::stod(value_or(fields, "weight", "1"))});
    });
    view->by_name.shrink_to_fit();
    view->by_key.resize(view->by_name.size());
    std::iota(view->by_key.begin(), view->by_key.end(), 0U);
    const std::vector<workspace>& list = view->by_name;
    std::sort(view->by_key.begin(), view->by_key.end(), [&list](std::uint32_t left, std::uint32_t right) {
        return list[left].key_sha256 < list[right].key_sha256;
    });
    std::string errors;
    for (std::size_t i = 1; i < view->by_key.size(); ++i) {
        const workspace& left = list[view->by_key[i - 1]];
        const workspace& right = list[view->by_key[i]];
        if (left.key_sha256 == right.key_sha256) {
            append_line(errors, "workspace " + right.name + " key_sha256: is also the key of workspace " + left.name +
                                    "; allowed is a key of its own");
        }
    }
    if (!errors.empty()) {
        return failure{error_kind::invalid_declaration, errors};
    }
    return std::shared_ptr<const workspace_view>{std::move(view)};
}

std::shared_ptr<const application_view> build_applications(const object_table& objects) {
    auto view = std::make_shared<application_view>();
    objects.for_each(object_kind::application, [&view](const std::string& name, const object_fields& fields) {
        view->by_name[name] = {name, to_priority(value_or(fields, "priority", "normal")),
                               value_or(fields, "idempotent", "true") == "true", number_or_zero(fields, "deadline_ms")};
    });
    return view;
}

result<std::shared_ptr<const endpoint_view>> build_endpoints(const object_table& objects) {
    auto view = std::make_shared<endpoint_view>();
    std::map<std::pair<std::string, std::uint32_t>, std::string> ranks;
    std::string errors;
    objects.for_each(object_kind::endpoint, [&](const std::string& name, const object_fields& fields) {
        endpoint parsed = to_endpoint(name, fields);
        if (!parsed.group.empty()) {
            const auto [existing, is_new] = ranks.emplace(std::pair{parsed.group, parsed.rank}, parsed.name);
            if (!is_new) {
                append_line(errors, "endpoint " + parsed.name + " rank: " + std::to_string(parsed.rank) + " of group " +
                                        parsed.group + " is also the rank of endpoint " + existing->second +
                                        "; allowed is a rank of its own");
            }
        }
        view->served.emplace(parsed.kind, parsed.serves);
        view->by_name.push_back(std::move(parsed));
    });
    if (!errors.empty()) {
        return failure{error_kind::invalid_declaration, errors};
    }
    return std::shared_ptr<const endpoint_view>{std::move(view)};
}

std::shared_ptr<const selector_view> build_selectors(const object_table& objects) {
    auto view = std::make_shared<selector_view>();
    objects.for_each(object_kind::selector, [&view](const std::string& name, const object_fields& fields) {
        view->by_name.push_back({name, to_label_selector(fields, "workspaces"),
                                 to_label_selector(fields, "applications"), to_label_selector(fields, "endpoints")});
    });
    return view;
}

} // namespace pomelohoist
