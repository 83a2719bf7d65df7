#include "replay/report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>

namespace pomelohoist {

namespace {

constexpr double plot_width = 900.0;
constexpr double panel_height = 240.0;
constexpr double plot_margin = 50.0;
constexpr double label_height = 14.0;
// Further points of a curve would not be visible and would only enlarge the file.
constexpr std::size_t max_points = 600;
constexpr std::array<const char*, 4> colours{"#1b6ca8", "#999999", "#d1495b", "#3a7d44"};

/// One curve of a panel.
struct curve {
    std::string name;
    std::vector<double> values;
};

double max_value(const std::vector<curve>& curves) {
    double value = 0.0;
    for (const curve& each : curves) {
        for (const double candidate : each.values) {
            value = std::max(value, candidate);
        }
    }
    return value > 0.0 ? value : 1.0;
}

std::string render_curve(const curve& plotted, double top, double y_max, const char* colour) {
    const std::size_t count = plotted.values.size();
    const std::size_t points = std::min(count, max_points);
    std::string text = fmt::format(R"(<polyline fill="none" stroke="{}" stroke-width="1.2" points=")", colour);
    for (std::size_t point = 0; point < points; ++point) {
        const auto begin = plotted.values.begin() + static_cast<std::ptrdiff_t>(point * count / points);
        const auto end = plotted.values.begin() + static_cast<std::ptrdiff_t>((point + 1) * count / points);
        const double x = plot_margin + plot_width * static_cast<double>(point) / static_cast<double>(points);
        text += fmt::format("{:.1f},{:.1f} ", x, top + panel_height * (1.0 - *std::max_element(begin, end) / y_max));
    }
    return text + "\"/>\n";
}

std::string render_panel(const std::string& title, const std::vector<curve>& curves, double top) {
    const double y_max = max_value(curves);
    std::string text = fmt::format(
        R"(<rect x="{0}" y="{1}" width="{2}" height="{3}" fill="none" stroke="#cccccc"/>)"
        R"(<text x="{0}" y="{4}">{5}</text><text x="4" y="{6}">{7:.4g}</text><text x="4" y="{8}">0</text>)",
        plot_margin, top, plot_width, panel_height, top - 6.0, title, top + label_height, y_max, top + panel_height);
    text += '\n';
    for (std::size_t i = 0; i < curves.size(); ++i) {
        const char* colour = colours.at(i % colours.size());
        text += render_curve(curves[i], top, y_max, colour);
        text += fmt::format(R"(<text x="{}" y="{}" fill="{}">{}</text>)", plot_margin + 8.0,
                            top + label_height * static_cast<double>(i + 1), colour, curves[i].name);
        text += '\n';
    }
    return text;
}

std::vector<curve> make_curves(const std::vector<policy_result>& results,
                               const std::function<double(const step_outcome&, double)>& next) {
    std::vector<curve> curves;
    for (const policy_result& result : results) {
        curve new_curve{result.summary.policy, {}};
        double previous = 0.0;
        for (const step_outcome& outcome : result.outcomes) {
            previous = next(outcome, previous);
            new_curve.values.push_back(previous);
        }
        curves.push_back(std::move(new_curve));
    }
    return curves;
}

std::string render_summary(const std::vector<policy_result>& results) {
    std::string text = "policy,steps,p50_skew,p95_skew,moves,stall_steps,mean_step_time,p95_step_time\n";
    for (const policy_result& result : results) {
        const policy_summary& row = result.summary;
        text += fmt::format("{},{},{:.6f},{:.6f},{},{},{:.3f},{:.3f}\n", row.policy, row.steps, row.p50_skew,
                            row.p95_skew, row.moves, row.stall_steps, row.mean_step_time, row.p95_step_time);
    }
    return text;
}

std::string render_steps(const std::vector<policy_result>& results) {
    std::string text = "policy,step,skew,step_time,moves,stall_steps\n";
    for (const policy_result& result : results) {
        for (const step_outcome& row : result.outcomes) {
            text += fmt::format("{},{},{:.6f},{:.3f},{},{}\n", result.summary.policy, row.step, row.skew, row.step_time,
                                row.copies, row.stall_steps);
        }
    }
    return text;
}

result<done> write_file(const std::filesystem::path& file, const std::string& text) {
    std::ofstream stream{file};
    stream << text << std::flush;
    if (!stream) {
        return failure{error_kind::internal, file.string() + ": cannot be written"};
    }
    return done{};
}

} // namespace

std::string render_table(const std::vector<policy_result>& results) {
    std::string text = fmt::format("{:<14}{:>8}{:>10}{:>10}{:>10}{:>8}{:>16}{:>16}\n", "policy", "steps", "p50 skew",
                                   "p95 skew", "moves", "stalls", "mean step time", "p95 step time");
    for (const policy_result& result : results) {
        const policy_summary& row = result.summary;
        text +=
            fmt::format("{:<14}{:>8}{:>10.3f}{:>10.3f}{:>10}{:>8}{:>16.6g}{:>16.6g}\n", row.policy, row.steps,
                        row.p50_skew, row.p95_skew, row.moves, row.stall_steps, row.mean_step_time, row.p95_step_time);
    }
    return text;
}

std::string render_plot(const std::vector<policy_result>& results) {
    const double moves_top = 2.0 * plot_margin + panel_height;
    std::string text =
        fmt::format(R"(<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}" font-family="sans-serif" )"
                    R"(font-size="12"><rect width="100%" height="100%" fill="white"/>)",
                    plot_width + 2.0 * plot_margin, moves_top + panel_height + plot_margin);
    text += '\n';
    text += render_panel("skew of a step: (slowest - fastest) / mean",
                         make_curves(results, [](const step_outcome& outcome, double) { return outcome.skew; }),
                         plot_margin);
    text += render_panel(
        "moves since the start",
        make_curves(results, [](const step_outcome& outcome,
                                double previous) { return previous + static_cast<double>(outcome.copies); }),
        moves_top);
    return text + "</svg>\n";
}

result<done> write_report(const std::vector<policy_result>& results, const std::string& folder) {
    const std::filesystem::path path{folder};
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error) {
        return failure{error_kind::internal, folder + ": " + error.message()};
    }
    for (const auto& [name, text] :
         {std::pair{"summary.csv", render_summary(results)}, std::pair{"steps.csv", render_steps(results)},
          std::pair{"skew.svg", render_plot(results)}}) {
        result<done> written = write_file(path / name, text);
        if (!written) {
            return written;
        }
    }
    return done{};
}

} // namespace pomelohoist
