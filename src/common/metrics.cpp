#include "common/metrics.h"

#include <boost/histogram.hpp>

#include <set>
#include <sstream>

namespace pomelohoist {

namespace {

namespace histogram = boost::histogram;

// Eight bins per decade, so that a quantile is at most 34% above the true value.
constexpr double lowest_ms = 0.1;
constexpr double highest_ms = 100000.0;
constexpr unsigned bin_count = 48;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using bin_storage = decltype(histogram::make_histogram(log_axis{}));

std::string full_name(const std::string& name) {
    return "pomelohoist_" + name;
}

std::string braces(const std::string& labels) {
    return labels.empty() ? "" : "{" + labels + "}";
}

void write_type(std::ostringstream& text, std::set<std::string>& written, const std::string& name,
                const std::string& type) {
    if (written.insert(name).second) {
        text << "# TYPE " << full_name(name) << ' ' << type << '\n';
    }
}

} // namespace

struct latency_histogram::storage {
    bin_storage bins = histogram::make_histogram(log_axis{bin_count, lowest_ms, highest_ms});
    double sum{0};
    std::uint64_t total{0};
};

latency_histogram::latency_histogram() : bins(std::make_unique<storage>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(double milliseconds) {
    const std::lock_guard lock{this->mutex};
    this->bins->bins(milliseconds);
    this->bins->sum += milliseconds;
    ++this->bins->total;
}

double latency_histogram::quantile(double fraction) const {
    const std::lock_guard lock{this->mutex};
    const double target_count = fraction * static_cast<double>(this->bins->total);
    const log_axis& axis = this->bins->bins.axis();
    double seen = 0;
    // Index -1 is the underflow bin. The overflow bin has no upper bound, so `highest_ms` is returned for it.
    for (int i = -1; i < axis.size() && this->bins->total > 0; ++i) {
        seen += static_cast<double>(this->bins->bins.at(i));
        if (seen > 0 && seen >= target_count) {
            return axis.value(i + 1);
        }
    }
    return this->bins->total == 0 ? 0.0 : highest_ms;
}

std::string latency_histogram::render(const std::string& name, const std::string& labels) const {
    const std::lock_guard lock{this->mutex};
    std::ostringstream text;
    const log_axis& axis = this->bins->bins.axis();
    const std::string prefix = name + "_bucket{" + labels + (labels.empty() ? "" : ",") + "le=\"";
    std::uint64_t seen = 0;
    for (int i = -1; i < axis.size(); ++i) {
        seen += static_cast<std::uint64_t>(this->bins->bins.at(i));
        text << prefix << axis.value(i + 1) << "\"} " << seen << '\n';
    }
    text << prefix << "+Inf\"} " << this->bins->total << '\n';
    text << name << "_sum" << braces(labels) << ' ' << this->bins->sum << '\n';
    text << name << "_count" << braces(labels) << ' ' << this->bins->total << '\n';
    return text.str();
}

counter& metrics_registry::get_counter(const std::string& name, const std::string& labels) {
    const std::lock_guard lock{this->mutex};
    std::unique_ptr<counter>& slot = this->counters[{name, labels}];
    if (!slot) {
        slot = std::make_unique<counter>();
    }
    return *slot;
}

latency_histogram& metrics_registry::get_histogram(const std::string& name, const std::string& labels) {
    const std::lock_guard lock{this->mutex};
    std::unique_ptr<latency_histogram>& slot = this->histograms[{name, labels}];
    if (!slot) {
        slot = std::make_unique<latency_histogram>();
    }
    return *slot;
}

void metrics_registry::add_gauge(const std::string& name, std::function<double()> read) {
    const std::lock_guard lock{this->mutex};
    this->gauges[name] = std::move(read);
}

std::string metrics_registry::render() const {
    const std::lock_guard lock{this->mutex};
    std::ostringstream text;
    std::set<std::string> written;
    for (const auto& [key, value] : this->counters) {
        write_type(text, written, key.name, "counter");
        text << full_name(key.name) << braces(key.labels) << ' ' << value->value() << '\n';
    }
    for (const auto& [name, read] : this->gauges) {
        write_type(text, written, name, "gauge");
        text << full_name(name) << ' ' << read() << '\n';
    }
    for (const auto& [key, value] : this->histograms) {
        write_type(text, written, key.name, "histogram");
        text << value->render(full_name(key.name), key.labels);
    }
    return text.str();
}

} // namespace pomelohoist
