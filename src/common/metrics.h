#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

/// Counters, gauges and histograms (Boost.Histogram), rendered in the Prometheus text format.
namespace pomelohoist {

class counter {
  public:
    void add(std::uint64_t number = 1) { this->total += number; }
    [[nodiscard]] std::uint64_t value() const { return this->total; }

  private:
    std::atomic<std::uint64_t> total{0};
};

/// Distribution of durations in milliseconds.
class latency_histogram {
  public:
    latency_histogram();
    ~latency_histogram();
    void record(double milliseconds);
    /// @param fraction in (0, 1)
    /// @returns upper bound of the bin that contains the quantile, 0 for an empty histogram
    [[nodiscard]] double quantile(double fraction) const;
    /// @returns lines `NAME_bucket{le="..."}`, `NAME_sum`, `NAME_count`
    [[nodiscard]] std::string render(const std::string& name, const std::string& labels) const;

  private:
    struct storage;
    mutable std::mutex mutex;
    std::unique_ptr<storage> bins;
};

/// All metrics of one process.
/// @attention returned references are valid during the lifetime of the registry
class metrics_registry {
  public:
    /// Returns the counter; the first call creates it.
    /// @param name without the prefix "pomelohoist_"
    /// @param labels as in `kind="overloaded"`, or empty
    counter& get_counter(const std::string& name, const std::string& labels = "");
    /// Returns the histogram; the first call creates it.
    latency_histogram& get_histogram(const std::string& name, const std::string& labels = "");
    /// Registers a function that returns the gauge's value whenever the metrics are rendered.
    void add_gauge(const std::string& name, std::function<double()> read);

    /// @returns the text for `/metrics`
    [[nodiscard]] std::string render() const;

  private:
    struct metric_key {
        std::string name;
        std::string labels;
        friend bool operator<(const metric_key& left, const metric_key& right) {
            return std::tie(left.name, left.labels) < std::tie(right.name, right.labels);
        }
    };

    mutable std::mutex mutex;
    std::map<metric_key, std::unique_ptr<counter>> counters;
    std::map<metric_key, std::unique_ptr<latency_histogram>> histograms;
    std::map<std::string, std::function<double()>> gauges;
};

} // namespace pomelohoist
