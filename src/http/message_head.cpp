#include "http/message_head.h"

#include "http/field_syntax.h"
#include "http/status_code.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t max_quoted_bytes = 40; // of a malformed line, in the reason of its refusal

/// Removes the first line from `rest`.
/// @returns the line without its end
std::string_view take_line(std::string_view& rest) {
    const std::size_t end = std::min(rest.find(line_end), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + line_end.size(), rest.size()));
    return line;
}

std::string quote(std::string_view line) {
    return "\"" + std::string{line.substr(0, max_quoted_bytes)} + "\"";
}

/// @param lines from the first field to the blank line
/// @returns the fields, or why one is malformed
result<std::vector<inner::header_field>> parse_fields(std::string_view lines, error_kind kind) {
    std::vector<inner::header_field> fields;
    for (std::string_view line = take_line(lines); !line.empty(); line = take_line(lines)) {
        // A line that continues the one before it (RFC 9112, section 5.2) is refused as well: its name is empty or has
        // white space in it.
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
            return failure{kind, "a line of the head is no field: " + quote(line)};
        }
        const std::string_view value = trim_field_value(line.substr(colon + 1));
        if (!is_field_value(value)) {
            return failure{kind, "a control character in the field " + quote(line.substr(0, colon))};
        }
        fields.push_back({std::string{line.substr(0, colon)}, std::string{value}});
    }
    return fields;
}

/// @returns true when each field can be written on one line
bool append_fields(const std::vector<inner::header_field>& fields, std::string& head) {
    for (const inner::header_field& field : fields) {
        if (!is_token(field.name) || !is_field_value(field.value)) {
            return false;
        }
        head.append(field.name).append(": ").append(field.value).append(line_end);
    }
    head.append(line_end);
    return true;
}

failure unwritable() {
    return {error_kind::internal, "a field of the head cannot be written on one line"};
}

} // namespace

std::optional<std::string> http_response_head::header(std::string_view name) const {
    const auto found = std::find_if(this->headers.begin(), this->headers.end(),
                                    [&name](const auto& field) { return equals_ignoring_case(field.name, name); });
    return found != this->headers.end() ? std::optional{found->value} : std::nullopt;
}

bool http_response_head::repeats(std::string_view name) const {
    return std::count_if(this->headers.begin(), this->headers.end(),
                         [&name](const auto& field) { return equals_ignoring_case(field.name, name); }) > 1;
}

result<request_head> parse_request_head(std::string_view bytes) {
    const std::string_view line = take_line(bytes);
    const std::size_t method_end = std::min(line.find(' '), line.size());
    const std::size_t target_end = std::max(line.rfind(' ') + 1, method_end + 1) - 1;
    request_head head;
    head.method = line.substr(0, method_end);
    head.target = target_end > method_end ? line.substr(method_end + 1, target_end - method_end - 1) : "";
    const std::string_view version = target_end < line.size() ? line.substr(target_end + 1) : "";
    head.is_http_1_0 = version == "HTTP/1.0";
    if (!is_token(head.method) || !is_request_target(head.target) || (version != "HTTP/1.1" && !head.is_http_1_0)) {
        return failure{error_kind::bad_request, "malformed request line"};
    }
    result<std::vector<inner::header_field>> fields = parse_fields(bytes, error_kind::bad_request);
    if (!fields) {
        return fields.last_error();
    }
    head.headers = std::move(*fields);
    // Each reader could take another of them for the one that counts.
    const auto is_host = [](const inner::header_field& field) { return equals_ignoring_case(field.name, "host"); };
    if (std::count_if(head.headers.begin(), head.headers.end(), is_host) > 1) {
        return failure{error_kind::bad_request, "more than one Host field"};
    }
    return head;
}

result<http_response_head> parse_response_head(std::string_view bytes) {
    const std::optional<std::uint16_t> status = parse_status_line(bytes);
    if (!status) {
        return failure{error_kind::endpoint_failed, "malformed status line"};
    }
    take_line(bytes);
    result<std::vector<inner::header_field>> fields = parse_fields(bytes, error_kind::endpoint_failed);
    if (!fields) {
        return fields.last_error();
    }
    return http_response_head{*status, std::move(*fields)};
}

result<std::string> encode_request_head(std::string_view method, std::string_view target,
                                        const std::vector<inner::header_field>& headers) {
    std::string head;
    head.append(method).append(" ").append(target).append(" HTTP/1.1").append(line_end);
    if (!is_token(method) || !is_request_target(target) || !append_fields(headers, head)) {
        return unwritable();
    }
    return head;
}

result<std::string> encode_response_head(std::uint16_t status, const std::vector<inner::header_field>& headers) {
    using Poco::Net::HTTPResponse;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                       HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(status));
    head.append(line_end);
    if (!append_fields(headers, head)) {
        return unwritable();
    }
    return head;
}

} // namespace pomelohoist
