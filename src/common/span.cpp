#include "common/span.h"

#include "common/span_json.h"

#include <fstream>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace pomelohoist {

namespace {

constexpr std::size_t trace_id_bytes = 16;
constexpr std::size_t span_id_bytes = 8;

class file_span_exporter : public span_exporter {
  public:
    file_span_exporter(std::string service_name, const std::string& file)
        : service(std::move(service_name)), stream(file, std::ios::app) {
        if (!this->stream) {
            throw std::runtime_error("trace.file cannot be written: " + file);
        }
    }

    void export_span(const span_record& finished) override {
        const std::string line = spans_to_json(this->service, {finished});
        const std::lock_guard lock{this->mutex};
        this->stream << line << '\n' << std::flush;
    }

  private:
    std::string service;
    std::mutex mutex;
    std::ofstream stream;
};

class pair_span_exporter : public span_exporter {
  public:
    pair_span_exporter(std::unique_ptr<span_exporter> first_target, std::unique_ptr<span_exporter> second_target)
        : first(std::move(first_target)), second(std::move(second_target)) {}

    void export_span(const span_record& finished) override {
        this->first->export_span(finished);
        this->second->export_span(finished);
    }

  private:
    std::unique_ptr<span_exporter> first;
    std::unique_ptr<span_exporter> second;
};

} // namespace

std::unique_ptr<span_exporter> make_span_exporter(const std::string& service_name, const std::string& file,
                                                  const std::string& url, const clock& time_source) {
    std::unique_ptr<span_exporter> to_file;
    std::unique_ptr<span_exporter> to_url;
    if (!file.empty()) {
        to_file = std::make_unique<file_span_exporter>(service_name, file);
    }
    if (!url.empty()) {
        to_url = make_http_span_exporter(service_name, url, time_source);
    }
    if (to_file && to_url) {
        return std::make_unique<pair_span_exporter>(std::move(to_file), std::move(to_url));
    }
    if (to_file) {
        return to_file;
    }
    if (to_url) {
        return to_url;
    }
    return std::make_unique<null_span_exporter>();
}

scoped_span::scoped_span(span_exporter& target, const clock& time_source, random_source& ids, std::string name,
                         const std::optional<trace_context>& parent)
    : exporter(target), time(time_source) {
    const bool has_parent = parent && !parent->trace_id.empty();
    this->record.context.trace_id = has_parent ? parent->trace_id : ids.next_hex(trace_id_bytes);
    this->record.context.span_id = ids.next_hex(span_id_bytes);
    this->record.parent_span_id = has_parent ? parent->span_id : "";
    this->record.name = std::move(name);
    this->record.begin = this->time.wall_now();
}

scoped_span::~scoped_span() {
    this->record.end = this->time.wall_now();
    this->exporter.export_span(this->record);
}

const trace_context& scoped_span::context() const {
    return this->record.context;
}

void scoped_span::set(const std::string& name, const std::string& value) {
    this->record.attributes.push_back({name, value});
}

void scoped_span::mark_failed(const std::string& reason) {
    this->record.failed = true;
    this->set("error.message", reason);
}

} // namespace pomelohoist
