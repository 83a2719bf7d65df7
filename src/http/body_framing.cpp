#include "http/body_framing.h"

#include "http/field_syntax.h"
#include "http/status_code.h"

#include <string>
#include <vector>

namespace pomelohoist {

namespace {

constexpr std::uint16_t status_no_content = 204;
constexpr std::uint16_t status_not_modified = 304;

std::vector<std::string> values_of(const std::vector<inner::header_field>& headers, std::string_view name) {
    std::vector<std::string> values;
    for (const inner::header_field& field : headers) {
        if (equals_ignoring_case(field.name, name)) {
            values.push_back(field.value);
        }
    }
    return values;
}

/// @param otherwise framing of a message with neither a length nor a coding
/// @param kind of the failure
result<body_framing> stated_framing(const std::vector<inner::header_field>& headers, body_framing::kind otherwise,
                                    error_kind kind) {
    const std::vector<std::string> codings = values_of(headers, "Transfer-Encoding");
    const std::vector<std::string> lengths = values_of(headers, "Content-Length");
    if (codings.empty() && lengths.empty()) {
        return body_framing{otherwise, 0};
    }
    if (!codings.empty()) {
        if (codings.size() > 1 || !equals_ignoring_case(codings.front(), "chunked")) {
            return failure{kind, "unknown transfer coding"};
        }
        return body_framing{body_framing::kind::chunked, 0};
    }
    const std::optional<std::uint64_t> bytes = parse_decimal(lengths.front());
    if (lengths.size() > 1 || !bytes) {
        return failure{kind, "malformed Content-Length"};
    }
    return body_framing{body_framing::kind::length, *bytes};
}

} // namespace

bool is_bodiless_status(std::uint16_t status) {
    return !is_final_status(status) || status == status_no_content || status == status_not_modified;
}

result<body_framing> request_framing(const request_head& head) {
    // Where two readers could find different ends of a body, one of them would take its rest for the next request.
    if (!values_of(head.headers, "Transfer-Encoding").empty() &&
        (head.is_http_1_0 || !values_of(head.headers, "Content-Length").empty())) {
        return failure{error_kind::bad_request, "a length and chunks at once, or chunks in HTTP/1.0"};
    }
    return stated_framing(head.headers, body_framing::kind::none, error_kind::bad_request);
}

result<body_framing> response_framing(const http_response_head& head, bool is_head_request) {
    if (is_head_request || is_bodiless_status(head.status)) {
        return body_framing{};
    }
    return stated_framing(head.headers, body_framing::kind::until_close, error_kind::endpoint_failed);
}

} // namespace pomelohoist
