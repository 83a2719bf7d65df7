#pragma once

#include "common/random_source.h"

#include <pomelohoist/clock.h>
#include <pomelohoist/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Trace spans, one per hop, exported in OpenTelemetry's JSON format.
namespace pomelohoist {

struct span_attribute {
    std::string name;
    std::string value;

    friend bool operator==(const span_attribute&, const span_attribute&) = default;
};

/// A finished span.
struct span_record {
    trace_context context;      ///< trace and span id of this span
    std::string parent_span_id; ///< empty for the first span of a trace
    std::string name;
    wall_time begin;
    wall_time end;
    bool failed{false};
    std::vector<span_attribute> attributes;

    friend bool operator==(const span_record&, const span_record&) = default;
};

/// Receives finished spans.
/// @attention implementations are safe for several threads and must not block on the network
class span_exporter {
  public:
    virtual ~span_exporter() = default;
    virtual void export_span(const span_record& finished) = 0;
};

/// Discards spans.
class null_span_exporter : public span_exporter {
  public:
    void export_span(const span_record& /*finished*/) override {}
};

/// Makes an exporter from the settings `trace.file` and `trace.url`: JSON lines to a file, OTLP/HTTP JSON in batches
/// from a background thread, or both. Returns a null exporter when both settings are empty.
std::unique_ptr<span_exporter> make_span_exporter(const std::string& service_name, const std::string& file,
                                                  const std::string& url, const clock& time_source);

/// A span that ends and is exported when its scope ends.
class scoped_span {
  public:
    /// @param parent context of the caller; empty: the span starts a new trace
    scoped_span(span_exporter& target, const clock& time_source, random_source& ids, std::string name,
                const std::optional<trace_context>& parent);
    ~scoped_span();
    scoped_span(const scoped_span&) = delete;
    scoped_span& operator=(const scoped_span&) = delete;

    [[nodiscard]] const trace_context& context() const;
    void set(const std::string& name, const std::string& value);
    void mark_failed(const std::string& reason);

  private:
    span_exporter& exporter;
    const clock& time;
    span_record record;
};

} // namespace pomelohoist
