#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Readings of processes, and the table of measured slopes.
namespace pomelohoist::capacity {

/// @returns processor time that the process has used since its start, all threads, in milliseconds
double processor_ms(pid_t process);
/// @param field "VmRSS" (resident now) or "VmHWM" (highest so far)
/// @returns the field of /proc/PID/status in kilobytes, 0 when the process is gone
double memory_kilobytes(pid_t process, const std::string& field = "VmRSS");
/// @returns milliseconds since the time point
double elapsed_ms(std::chrono::steady_clock::time_point since);

/// One measurement: how much of something, and what it cost.
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

/// @attention needs two different sizes
line_fit fit(const std::vector<point>& points);

/// Collects the rows of the table and prints each one as it comes.
class report {
  public:
    /// Prints the head of a table.
    void begin(const std::string& title);
    /// A cost that grows with a size.
    void add_slope(const std::string& figure, const std::string& unit, const std::vector<point>& points);
    /// A time or a count that is repeated at one size.
    void add_samples(const std::string& figure, const std::string& unit, std::vector<double> samples);
};

/// Measures the processor time of one process for growing amounts of work, without what the process uses while idle.
class processor_meter {
  public:
    /// Measures the idle use first, which takes two seconds.
    explicit processor_meter(std::vector<pid_t> measured);
    /// Runs the work.
    void run(double size, const std::function<void()>& work);
    /// Forgets the points, and keeps the idle use.
    void clear();
    /// @returns points in milliseconds of one process
    [[nodiscard]] const std::vector<point>& points(std::size_t process) const;
    /// @returns idle use in milliseconds a second
    [[nodiscard]] double idle(std::size_t process) const;

  private:
    std::vector<pid_t> processes;
    std::vector<double> idle_rates;
    std::vector<std::vector<point>> measured_points;
};

} // namespace pomelohoist::capacity
