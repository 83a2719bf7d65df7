#include "direct/direct_request.h"

#include "http/connection_fields.h"
#include "http/field_syntax.h"
#include "http/message_head.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <sstream>
#include <string_view>
#include <utility>

namespace pomelohoist {

namespace {

constexpr const char* last_event_field = "Last-Event-Id";
constexpr std::uint32_t lowest_importance = 9;

std::string host_of(const raw_request& raw) {
    const std::string host = Poco::toLower(raw.header("Host").value_or(""));
    return host.substr(0, host.find(':'));
}

std::string_view path_of(const raw_request& raw) {
    return std::string_view{raw.target}.substr(0, raw.target.find('?'));
}

/// @returns the value of the field; empty when the request lacks it, or has several, of which none is preferred
std::string only_value(const raw_request& raw, const std::string& name) {
    const auto count = std::count_if(raw.headers.begin(), raw.headers.end(), [&name](const inner::header_field& field) {
        return equals_ignoring_case(field.name, name);
    });
    return count == 1 ? raw.header(name).value_or("") : "";
}

/// @returns the service of a target; the share of tickets that select a target is proportional to its weight
std::string pick_target(const route& matched_route, std::uint64_t ticket) {
    const std::uint64_t total =
        std::accumulate(matched_route.targets.begin(), matched_route.targets.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const route_target& target) { return sum + target.weight; });
    std::uint64_t remaining = total > 0 ? ticket % total : 0;
    for (const route_target& target : matched_route.targets) {
        if (remaining < target.weight) {
            return target.service;
        }
        remaining -= target.weight;
    }
    return "";
}

} // namespace

std::vector<std::string> parse_shared_segments(const std::string& prompt_segments) {
    std::vector<std::string> ids;
    std::istringstream list{prompt_segments};
    for (std::string segment; std::getline(list, segment, ',');) {
        ids.push_back(Poco::trim(segment.substr(0, segment.find(':'))));
    }
    if (!ids.empty()) {
        ids.pop_back();
    }
    return ids;
}

std::uint32_t parse_prompt_tokens(std::string_view token_counts) {
    const std::string_view prompt = token_counts.substr(0, token_counts.find(','));
    std::uint32_t tokens = 0;
    const auto [stopped, error] = std::from_chars(prompt.data(), prompt.data() + prompt.size(), tokens);
    return error == std::errc{} && stopped == prompt.data() + prompt.size() ? tokens : 0;
}

result<direct_request> request_resolver::resolve(const raw_request& raw, steady_time arrived,
                                                 std::uint64_t ticket) const {
    routing_snapshot snapshot = this->state.current();
    if (!snapshot.routing || !snapshot.endpoints) {
        return failure{error_kind::not_ready, "no configuration is known yet"};
    }
    const route* matched_route = snapshot.routing->find_route(host_of(raw), path_of(raw));
    if (matched_route == nullptr) {
        return failure{error_kind::not_found, "no route in version " + std::to_string(snapshot.routing->version())};
    }
    direct_request request{raw,
                           snapshot.routing,
                           matched_route,
                           raw.header(this->names.request_id).value_or(""),
                           std::nullopt,
                           "",
                           matched_route->importance,
                           parse_shared_segments(raw.header(this->names.prompt_segments).value_or("")),
                           {},
                           arrived,
                           {},
                           parse_prompt_tokens(raw.header(this->names.token_counts).value_or(""))};
    if (!matched_route->is_public && snapshot.routing->has_workspaces()) {
        const std::string key = only_value(raw, this->names.api_key);
        const workspace_keys* owner = key.empty() ? nullptr : snapshot.routing->find_workspace(key);
        if (owner == nullptr) {
            return failure{error_kind::unauthorized,
                           "unknown key in version " + std::to_string(snapshot.routing->version())};
        }
        if (!is_field_value(owner->name)) {
            return failure{error_kind::internal, "the name of the key's workspace cannot be sent in a field"};
        }
        request.workspace = owner->name;
        request.importance = owner->importance.value_or(matched_route->importance);
    }
    request.fingerprint =
        make_fingerprint(raw.target, request.workspace.value_or(""), raw.body, request.shared_segments);
    request.service = pick_target(*matched_route, ticket);
    std::chrono::milliseconds wait{matched_route->timeout_ms};
    if (const auto deadline_text = raw.header(this->names.deadline_ms)) {
        if (!is_decimal(*deadline_text)) {
            return failure{error_kind::bad_request, "malformed deadline"};
        }
        // A number beyond 64 bits is longer than any route's timeout.
        const std::uint64_t limit = parse_decimal(*deadline_text).value_or(matched_route->timeout_ms);
        wait = std::chrono::milliseconds{std::min<std::uint64_t>(matched_route->timeout_ms, limit)};
    }
    request.deadline = arrived + wait;
    return request;
}

result<std::string> encode_for_endpoint(const direct_request& request, const header_names& names,
                                        const std::string& instance, std::chrono::milliseconds time_left,
                                        const std::string& resume_after) {
    const raw_request& raw = request.raw;
    // The caller's values of these fields are not forwarded: the API key is meant for the entry only, and the entry
    // sets the other fields itself.
    const std::array<std::string_view, 5> entry_fields{names.api_key, names.workspace, names.expected_instance,
                                                       names.deadline_ms, names.importance};
    std::vector<inner::header_field> headers = end_to_end_fields(raw.headers);
    std::erase_if(headers, [&](const inner::header_field& field) {
        const bool is_entry_field =
            std::any_of(entry_fields.begin(), entry_fields.end(),
                        [&field](std::string_view name) { return equals_ignoring_case(field.name, name); });
        return is_entry_field || (!resume_after.empty() && equals_ignoring_case(field.name, last_event_field));
    });
    headers.push_back({names.deadline_ms, std::to_string(std::max<std::int64_t>(time_left.count(), 1))});
    headers.push_back({names.expected_instance, instance});
    headers.push_back({names.importance, std::to_string(std::min(request.importance, lowest_importance))});
    if (request.workspace) {
        headers.push_back({names.workspace, *request.workspace});
    }
    if (!resume_after.empty()) {
        headers.push_back({last_event_field, resume_after});
    }
    if (!raw.body.empty() || raw.method == "POST" || raw.method == "PUT") {
        headers.push_back({"Content-Length", std::to_string(raw.body.size())});
    }
    result<std::string> bytes = encode_request_head(raw.method, raw.target, headers);
    if (bytes) {
        *bytes += raw.body;
    }
    return bytes;
}

} // namespace pomelohoist
