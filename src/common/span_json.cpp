#include "common/span_json.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace pomelohoist {

namespace {

// Values of the OTLP enums Span.SpanKind and Status.StatusCode.
constexpr int span_kind_server = 2;
constexpr int status_code_error = 2;

// OTLP JSON encodes 64-bit integers as strings.
std::string nanoseconds_text(wall_time time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json attribute_json(const std::string& name, const std::string& value) {
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

nlohmann::json span_json(const span_record& span) {
    nlohmann::json attributes = nlohmann::json::array();
    for (const span_attribute& attribute : span.attributes) {
        attributes.push_back(attribute_json(attribute.name, attribute.value));
    }
    nlohmann::json json{{"traceId", span.context.trace_id},
                        {"spanId", span.context.span_id},
                        {"name", span.name},
                        {"kind", span_kind_server},
                        {"startTimeUnixNano", nanoseconds_text(span.begin)},
                        {"endTimeUnixNano", nanoseconds_text(span.end)},
                        {"attributes", attributes}};
    if (!span.parent_span_id.empty()) {
        json["parentSpanId"] = span.parent_span_id;
    }
    if (span.failed) {
        json["status"] = {{"code", status_code_error}};
    }
    return json;
}

} // namespace

std::string spans_to_json(const std::string& service_name, const std::vector<span_record>& spans) {
    nlohmann::json list = nlohmann::json::array();
    for (const span_record& span : spans) {
        list.push_back(span_json(span));
    }
    nlohmann::json scope_spans{{"scope", {{"name", "pomelohoist"}}}, {"spans", list}};
    nlohmann::json resource{{"attributes", nlohmann::json::array({attribute_json("service.name", service_name)})}};
    nlohmann::json resource_spans{{"resource", resource}, {"scopeSpans", nlohmann::json::array({scope_spans})}};
    const nlohmann::json request{{"resourceSpans", nlohmann::json::array({resource_spans})}};
    return request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace pomelohoist
