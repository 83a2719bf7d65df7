#pragma once

#include "common/span.h"

#include <memory>
#include <string>
#include <vector>

/// Encoding of spans in OpenTelemetry's JSON format (OTLP), and their export over HTTP.
namespace pomelohoist {

/// @returns one `ExportTraceServiceRequest` on one line
std::string spans_to_json(const std::string& service_name, const std::vector<span_record>& spans);

/// Sends spans in batches from a background thread. Drops spans while its queue is full.
/// @param url as in http://IP:PORT/v1/traces
/// @attention throws Poco::SyntaxException when the URL is malformed
std::unique_ptr<span_exporter> make_http_span_exporter(const std::string& service_name, const std::string& url,
                                                       const clock& time_source);

} // namespace pomelohoist
