#include "support/standin_responses.h"

#include "../../standins/engine/token_rule.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace pomelohoist::test_support {

namespace {

using nlohmann::json;

constexpr std::uint16_t status_ok = 200;
constexpr const char* done_event = "[DONE]";

json parse(const std::string& text) {
    return json::parse(text, nullptr, false);
}

std::string text_of(const json& message) {
    if (!message.is_object() || !message.contains("choices") || message["choices"].empty()) {
        return "";
    }
    return message["choices"][0].value("text", "");
}

} // namespace

http_request to_request(const draft& call) {
    http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Authorization", "Bearer " + call.key},
                       {"Content-Type", "application/json"},
                       {"X-Pomelohoist-Application", call.application}};
    if (!call.idempotency_key.empty()) {
        request.headers["Idempotency-Key"] = call.idempotency_key;
    }
    request.body =
        json{{"model", call.model}, {"prompt", call.prompt}, {"max_tokens", call.max_tokens}, {"stream", call.stream}}
            .dump();
    return request;
}

std::string response_content(const http_response& response, bool stream) {
    if (!stream) {
        return text_of(parse(response.body));
    }
    std::string text;
    std::istringstream lines{response.body};
    std::string line;
    const std::string prefix = "data: ";
    while (std::getline(lines, line)) {
        if (line.rfind(prefix, 0) == 0 && line.substr(prefix.size()) != done_event) {
            text += text_of(parse(line.substr(prefix.size())));
        }
    }
    return text;
}

std::string expected_content(const draft& call) {
    return standin::response_text(call.prompt, 0, call.max_tokens);
}

bool is_full_response(const draft& call, const http_response& response) {
    if (response.status != status_ok || !response.complete) {
        return false;
    }
    if (call.stream && response.body.find(std::string{"data: "} + done_event) == std::string::npos) {
        return false;
    }
    return response_content(response, call.stream) == expected_content(call);
}

std::string error_kind_of(const http_response& response) {
    const json body = parse(response.body);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
        return "";
    }
    return body["error"].value("kind", "");
}

bool says_not_run(const http_response& response) {
    const json body = parse(response.body);
    return body.is_object() && body.contains("error") && body["error"].is_object() &&
           body["error"].value("not_run", false);
}

count_table read_counts(const net_address& standin) {
    http_request request;
    request.path = "/standin/counts";
    const json body = parse(send_http(standin, request).body);
    count_table counts;
    if (!body.is_object()) {
        return counts;
    }
    for (const auto& [table, rows] : body.items()) {
        if (!rows.is_object()) {
            continue;
        }
        for (const auto& [name, number] : rows.items()) {
            counts[table][name] = number.is_number() ? number.get<std::uint64_t>() : 0;
        }
    }
    return counts;
}

std::uint64_t sum_of(const count_table& counts, const std::string& table) {
    std::uint64_t sum = 0;
    const auto found = counts.find(table);
    if (found != counts.end()) {
        for (const auto& [name, number] : found->second) {
            sum += number;
        }
    }
    return sum;
}

bool set_faults(const net_address& standin, const std::string& faults) {
    http_request request;
    request.method = "PUT";
    request.path = "/standin/faults";
    request.body = faults;
    return send_http(standin, request).status == status_ok;
}

} // namespace pomelohoist::test_support
