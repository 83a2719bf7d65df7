#include "capacity/measurement.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>
#include <utility>

namespace pomelohoist::capacity {

namespace {

using steady = std::chrono::steady_clock;

constexpr double milliseconds_per_second = 1000.0;
constexpr double nanoseconds_per_millisecond = 1e6;
constexpr std::chrono::seconds idle_time{2};

std::string format(double value) {
    std::ostringstream text;
    text << std::setprecision(4) << value;
    return text.str();
}

} // namespace

double processor_ms(pid_t process) {
    clockid_t clock = 0;
    timespec used{};
    if (clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &used) != 0) {
        return 0.0;
    }
    return static_cast<double>(used.tv_sec) * milliseconds_per_second +
           static_cast<double>(used.tv_nsec) / nanoseconds_per_millisecond;
}

double memory_kilobytes(pid_t process, const std::string& field) {
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field + ":")) {
            return std::stod(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0.0;
}

double elapsed_ms(steady::time_point since) {
    return std::chrono::duration<double, std::milli>(steady::now() - since).count();
}

line_fit fit(const std::vector<point>& points) {
    const auto number = static_cast<double>(points.size());
    double sizes = 0.0;
    double values = 0.0;
    for (const point& each : points) {
        sizes += each.size;
        values += each.value;
    }
    double products = 0.0;
    double squares = 0.0;
    for (const point& each : points) {
        const double distance = each.size - sizes / number;
        products += distance * (each.value - values / number);
        squares += distance * distance;
    }
    const double slope = products / squares;
    return {slope, (values - slope * sizes) / number};
}

void report::begin(const std::string& title) {
    std::cout << "\n### " << title << "\n\n| figure | unit | measured (size: value) | slope | at size 0 |\n"
              << "|---|---|---|---|---|" << std::endl;
}

void report::add_slope(const std::string& figure, const std::string& unit, const std::vector<point>& points) {
    const line_fit line = fit(points);
    std::string measured;
    for (const point& each : points) {
        measured += (measured.empty() ? "" : ", ") + format(each.size) + ": " + format(each.value);
    }
    std::cout << "| " << figure << " | " << unit << " | " << measured << " | " << format(line.slope) << " | "
              << format(line.base) << " |" << std::endl;
}

void report::add_samples(const std::string& figure, const std::string& unit, std::vector<double> samples) {
    std::sort(samples.begin(), samples.end());
    std::cout << "| " << figure << " | " << unit << " | ";
    if (samples.empty()) {
        std::cout << "not measured | | |" << std::endl;
        return;
    }
    std::cout << samples.size() << " samples: lowest " << format(samples.front()) << ", median "
              << format(samples[samples.size() / 2]) << ", highest " << format(samples.back()) << " | | |" << std::endl;
}

processor_meter::processor_meter(std::vector<pid_t> monitored)
    : processes(std::move(monitored)), measured_points(this->processes.size()) {
    std::vector<double> before;
    for (const pid_t process : this->processes) {
        before.push_back(processor_ms(process));
    }
    const auto begin = steady::now();
    std::this_thread::sleep_for(idle_time);
    const double seconds = elapsed_ms(begin) / milliseconds_per_second;
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        this->idle_rates.push_back((processor_ms(this->processes[i]) - before[i]) / seconds);
    }
}

void processor_meter::run(double size, const std::function<void()>& work) {
    std::vector<double> before;
    for (const pid_t process : this->processes) {
        before.push_back(processor_ms(process));
    }
    const auto begin = steady::now();
    work();
    const double seconds = elapsed_ms(begin) / milliseconds_per_second;
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        const double used = processor_ms(this->processes[i]) - before[i];
        this->measured_points[i].push_back({size, used - this->idle_rates[i] * seconds});
    }
}

void processor_meter::clear() {
    for (std::vector<point>& points : this->measured_points) {
        points.clear();
    }
}

const std::vector<point>& processor_meter::points(std::size_t process) const {
    return this->measured_points.at(process);
}

double processor_meter::idle(std::size_t process) const {
    return this->idle_rates.at(process);
}

} // namespace pomelohoist::capacity
