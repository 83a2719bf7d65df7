#include "entry/request_parser.h"

#include "common/digest.h"
#include "entry/model_call.h"
#include "http/connection_fields.h"
#include "http/field_syntax.h"

#include <pomelohoist/config.h>

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t request_id_bytes = 16;
constexpr std::size_t max_key_bytes = 256;

// Fields meant for the entry only. The bearer key must not reach endpoints.
constexpr std::array<std::string_view, 5> dropped_headers{"authorization", "host", "x-request-deadline-ms",
                                                          "traceparent", "x-pomelohoist-application"};

bool is_dropped(const std::string& name) {
    const std::string lower = Poco::toLower(name);
    return std::find(dropped_headers.begin(), dropped_headers.end(), lower) != dropped_headers.end();
}

result<const workspace*> authenticate(const raw_request& raw, const configuration& declared) {
    constexpr std::string_view scheme = "bearer ";
    const std::optional<std::string> header = raw.header("Authorization");
    if (!header || header->size() <= scheme.size() || Poco::toLower(header->substr(0, scheme.size())) != scheme) {
        return failure{error_kind::unauthorized, "the header Authorization: Bearer KEY is missing"};
    }
    const std::string key = Poco::trim(header->substr(scheme.size()));
    const workspace* found = declared.find_workspace_by_key(sha256_hex(key));
    if (found == nullptr) {
        return failure{error_kind::unauthorized, "the key belongs to no workspace"};
    }
    return found;
}

result<application> choose_application(const raw_request& raw, const configuration& declared) {
    const std::string name = raw.header("X-Pomelohoist-Application").value_or(std::string{default_application_name});
    const application* found = declared.find_application(name);
    if (found != nullptr) {
        return *found;
    }
    if (name == default_application_name) {
        return application{name, priority::normal, true, 0};
    }
    return failure{error_kind::bad_request, "application " + name + " is not declared"};
}

result<std::chrono::milliseconds> parse_deadline(const raw_request& raw, const application& declared) {
    const std::optional<std::string> header = raw.header("X-Request-Deadline-Ms");
    if (!header) {
        return declared.deadline_ms == 0 ? config::default_request_deadline
                                         : std::chrono::milliseconds{declared.deadline_ms};
    }
    std::int64_t number = 0;
    const char* end = header->data() + header->size();
    const auto [stopped, error] = std::from_chars(header->data(), end, number);
    if (error != std::errc{} || stopped != end || number <= 0 || number > config::max_request_deadline.count()) {
        return failure{error_kind::bad_request, "X-Request-Deadline-Ms must be a number from 1 to " +
                                                    std::to_string(config::max_request_deadline.count())};
    }
    return std::chrono::milliseconds{number};
}

result<std::string> parse_idempotency_key(const raw_request& raw) {
    const std::string key = raw.header("Idempotency-Key").value_or("");
    if (key.size() > max_key_bytes || (raw.header("Idempotency-Key") && key.empty())) {
        return failure{error_kind::bad_request,
                       "Idempotency-Key must have 1 to " + std::to_string(max_key_bytes) + " characters"};
    }
    return key;
}

result<done> fill_model_call(entry_request& request, const raw_request& raw, const configuration& declared) {
    if (raw.method != "POST") {
        return failure{error_kind::method_not_allowed, raw.target + " takes POST"};
    }
    const result<model_call> call = parse_model_call(raw.body);
    if (!call) {
        return call.last_error();
    }
    if (!declared.is_served(endpoint_kind::model, call->model)) {
        return failure{error_kind::unknown_model, "no endpoint serves the model " + call->model};
    }
    request.kind = endpoint_kind::model;
    request.serves = call->model;
    request.stream = call->stream;
    request.prefix_hash = call->prefix_hash;
    request.prompt_tokens = call->prompt_tokens;
    request.max_output_tokens = call->max_output_tokens;
    request.path = raw.target;
    return done{};
}

result<done> fill_service_call(entry_request& request, const raw_request& raw, const configuration& declared) {
    const std::string rest = raw.target.substr(services_prefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    request.kind = endpoint_kind::service;
    request.serves = rest.substr(0, end);
    request.path = rest.substr(end);
    if (request.path.empty() || request.path.front() != '/') {
        request.path.insert(0, 1, '/');
    }
    if (!declared.is_served(endpoint_kind::service, request.serves)) {
        return failure{error_kind::not_found, "no endpoint serves the service " + request.serves};
    }
    request.idempotent = raw.method == "GET" || raw.method == "HEAD" || raw.method == "OPTIONS";
    return done{};
}

result<done> fill_call(entry_request& request, const raw_request& raw, const configuration& declared,
                       const application& declared_application) {
    const std::string path = raw.target.substr(0, raw.target.find('?'));
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        request.idempotent = declared_application.idempotent;
        return fill_model_call(request, raw, declared);
    }
    if (path.starts_with(services_prefix)) {
        return fill_service_call(request, raw, declared);
    }
    return failure{error_kind::not_found, "no such path: " + path};
}

// Each part is preceded by its length, so that requests with different parts never give the same text.
std::string digest_of(const entry_request& request, const raw_request& raw) {
    std::string text;
    for (const std::string* part : {&request.workspace, &request.application, &raw.target, &raw.body}) {
        text += std::to_string(part->size()) + ":" + *part;
    }
    return sha256_hex(text);
}

void fill_headers(entry_request& request, const raw_request& raw) {
    request.headers = end_to_end_fields(raw.headers);
    std::erase_if(request.headers, [](const inner::header_field& field) {
        return is_dropped(field.name) || equals_ignoring_case(field.name, "x-request-id");
    });
    request.headers.push_back({"X-Request-Id", request.request_id});
}

} // namespace

std::optional<std::string> raw_request::header(const std::string& name) const {
    const auto found = std::find_if(this->headers.begin(), this->headers.end(),
                                    [&name](const auto& field) { return Poco::icompare(field.name, name) == 0; });
    return found == this->headers.end() ? std::nullopt : std::optional<std::string>{found->value};
}

raw_request make_raw_request(request_head head) {
    return {std::move(head.method), std::move(head.target), std::move(head.headers), ""};
}

request_parser::request_parser(const clock& time_source, random_source& ids) : time(time_source), random(ids) {}

result<entry_request> request_parser::parse(const raw_request& raw, const configuration& declared,
                                            const std::string& request_id, steady_time arrived) {
    const result<const workspace*> caller_workspace = authenticate(raw, declared);
    if (!caller_workspace) {
        return caller_workspace.last_error();
    }
    const result<application> declared_application = choose_application(raw, declared);
    if (!declared_application) {
        return declared_application.last_error();
    }
    const result<std::chrono::milliseconds> deadline = parse_deadline(raw, *declared_application);
    if (!deadline) {
        return deadline.last_error();
    }
    const result<std::string> key = parse_idempotency_key(raw);
    if (!key) {
        return key.last_error();
    }
    entry_request request;
    request.request_id = request_id;
    request.trace = trace_context::parse(raw.header("traceparent").value_or(""));
    request.workspace = (*caller_workspace)->name;
    request.application = declared_application->name;
    request.importance = declared_application->importance;
    request.arrived = arrived;
    request.deadline = arrived + *deadline;
    request.method = raw.method;
    request.body = raw.body;
    const result<done> call = fill_call(request, raw, declared, *declared_application);
    if (!call) {
        return call.last_error();
    }
    request.idempotency_key = *key;
    // A request with an idempotency key always gets a claim, and a request with a claim runs at most once.
    request.idempotent = request.idempotent && key->empty();
    request.digest = digest_of(request, raw);
    fill_headers(request, raw);
    if (this->time.now() >= request.deadline) {
        return failure{error_kind::deadline_exceeded, "the deadline passed while the request was read"};
    }
    return request;
}

std::string request_parser::choose_request_id(const raw_request& raw) {
    std::string caller_id = raw.header("X-Request-Id").value_or("");
    const bool printable =
        std::all_of(caller_id.begin(), caller_id.end(), [](char letter) { return letter > ' ' && letter < '\x7f'; });
    if (caller_id.empty() || caller_id.size() > config::max_request_id_bytes || !printable) {
        return this->random.next_hex(request_id_bytes);
    }
    return caller_id;
}

} // namespace pomelohoist
