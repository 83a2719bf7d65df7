#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Resource use of processes, and a table of the measured values and their slopes.
namespace pomelohoist::capacity {

/// @returns processor time that the process has used since its start, all threads, in milliseconds
double processor_ms(pid_t process);
/// @param field "VmRSS" (resident now) or "VmHWM" (highest so far)
/// @returns the field of /proc/PID/status in kilobytes, 0 when the process has exited
double memory_kilobytes(pid_t process, const std::string& field = "VmRSS");
/// @returns milliseconds since the time point
double elapsed_ms(std::chrono::steady_clock::time_point since);

/// One measurement: an amount of load, and its cost.
struct point {
    double size{0.0};
    double value{0.0};

    friend bool operator==(const point&, const point&) = default;
};

/// Least squares line through measured points.
struct line_fit {
    double slope{0.0};
    double base{0.0}; ///< value at size 0

    friend bool operator==(const line_fit&, const line_fit&) = default;
};

/// @attention needs at least two points of different size
line_fit fit(const std::vector<point>& points);

/// Prints each row of the table when it is added.
class report {
  public:
    /// Prints the head of a table.
    void begin(const std::string& title);
    /// Adds a cost that grows with a size.
    void add_slope(const std::string& figure, const std::string& unit, const std::vector<point>& points);
    /// Adds repeated measurements of a time or a count at one size.
    void add_samples(const std::string& figure, const std::string& unit, std::vector<double> samples);
};

/// Measures the processor time of processes for increasing amounts of work, without their idle use.
class processor_meter {
  public:
    /// Measures the idle use first, which takes two seconds.
    explicit processor_meter(std::vector<pid_t> monitored);
    /// Runs the work and adds one point for each process.
    void run(double size, const std::function<void()>& work);
    /// Removes the points and keeps the idle use.
    void clear();
    /// @returns the points of one process, in milliseconds
    [[nodiscard]] const std::vector<point>& points(std::size_t process) const;
    /// @returns idle use in milliseconds per second
    [[nodiscard]] double idle(std::size_t process) const;

  private:
    std::vector<pid_t> processes;
    std::vector<double> idle_rates;
    std::vector<std::vector<point>> measured_points;
};

} // namespace pomelohoist::capacity
